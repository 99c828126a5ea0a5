package org.hyssoprouter.daemon.peer;

import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;

/** Puts chunks together again; used on one event loop only. */
final class ChunkAssembler {
    /** Largest body in bytes. */
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Most bytes of unfinished bodies of one connection. */
    static final long MAX_PARTIAL_BYTES = 16L * 1024 * 1024;

    private final Map<Long, ByteArrayOutputStream> mPartials = new HashMap<>();
    private long mPartialBytes;

    /**
     * Adds a chunk.
     *
     * @return the whole body if this was its last chunk
     * @throws TooLongFrameException if the body, or all unfinished ones, are too large
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

    /** Forgets the chunks of a body that is not wanted any more. */
    void discard(long id) {
        ByteArrayOutputStream partial = mPartials.remove(id);
        if (partial != null) {
            mPartialBytes -= partial.size();
        }
    }
}
