package org.hyssoprouter.daemon.distribution;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses messages for narrow links. */
final class Compression {
    /** Maximum size of a decompressed message in bytes; 10,000 queues take about 3 MB. */
    private static final int MAX_BYTES = 32 * 1024 * 1024;

    private static final int BUFFER_BYTES = 16 * 1024;

    private Compression() {}

    static byte[] compress(byte[] bytes) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    static byte[] decompress(byte[] bytes) throws IOException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(BUFFER_BYTES);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw new IOException("compressed message is incomplete");
                }
                out.write(buffer, 0, count);
                if (out.size() > MAX_BYTES) {
                    throw new IOException("message exceeds " + MAX_BYTES + " bytes");
                }
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new IOException("message is not compressed data", e);
        } finally {
            inflater.end();
        }
    }
}
