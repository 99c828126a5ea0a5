package org.hyssoprouter.daemon.peer;

import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;

/** Reassembles message bodies from chunks; used on one event loop only. */
final class ChunkAssembler {
    /** Maximum size of a body in bytes. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Maximum total size of the incomplete bodies of one connection in bytes. */
    static final long MAX_PARTIAL_BYTES = 16L * 1024 * 1024;

    private final Map<Long, ByteArrayOutputStream> mPartials = new HashMap<>();
    private long mPartialBytes;

    /**
     * Adds a chunk.
     *
     * @return the whole body if this was its last chunk, else none
     * @throws TooLongFrameException if the body or all incomplete bodies together are too large
     */
    Option<byte[]> add(Frame frame) {
        ByteArrayOutputStream partial = mPartials.get(frame.id());
        if (partial == null && frame.last()) {
            return Option.some(frame.body());
        }
        if (partial == null) {
            partial = new ByteArrayOutputStream(2 * Frame.CHUNK_BYTES);
            mPartials.put(frame.id(), partial);
        }
        partial.write(frame.body(), 0, frame.body().length);
        mPartialBytes += frame.body().length;
        if (partial.size() > MAX_BODY_BYTES || mPartialBytes > MAX_PARTIAL_BYTES) {
            throw new TooLongFrameException("body of call " + frame.id() + " is too large");
        }
        if (!frame.last()) {
            return Option.none();
        }
        discard(frame.id());
        return Option.some(partial.toByteArray());
    }

    /** Discards the chunks received so far of an incomplete body. */
    void discard(long id) {
        ByteArrayOutputStream partial = mPartials.remove(id);
        if (partial != null) {
            mPartialBytes -= partial.size();
        }
    }
}
