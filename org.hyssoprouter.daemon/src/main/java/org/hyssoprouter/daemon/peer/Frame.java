package org.hyssoprouter.daemon.peer;

import org.hyssoprouter.lib.TrafficClass;

/**
 * Unit of transmission between daemons: a control message or one chunk of a call or answer.
 *
 * @param kind kind of frame
 * @param id correlation id of the call; 0 for {@code PING}, {@code PONG} and {@code HELLO}
 * @param type number of the call type, also in chunks of the answer; 0 in control frames
 * @param trafficClass class of the call; {@code URGENT} in control frames
 * @param last whether this is the last chunk of the body
 * @param body whole body or one chunk of it
 */
record Frame(Kind kind, long id, int type, TrafficClass trafficClass, boolean last, byte[] body) {
    /** Maximum body of one frame in bytes; larger bodies are split into chunks. */
    static final int CHUNK_BYTES = 16 * 1024;

    /** Upper bound of the encoded size of a frame without its body, in bytes. */
    static final int OVERHEAD_BYTES = 64;

    /** Maximum size of an encoded frame in bytes. */
    static final int MAX_ENCODED_BYTES = CHUNK_BYTES + OVERHEAD_BYTES;

    private static final byte[] EMPTY_BODY = new byte[0];

    /** Kinds of frames; their numbers are part of the wire protocol and must not change. */
    enum Kind {
        /** Requests a {@link #PONG}, to detect a dead connection. */
        PING(0),
        /** Answers a {@link #PING}. */
        PONG(1),
        /** Chunk of the body of a call. */
        CALL(2),
        /** Chunk of the body of an answer. */
        ANSWER(3),
        /** The call was rejected before it reached the handler. */
        REJECTED(4),
        /** The handler or its answer failed; the call may have taken effect. */
        FAILED(5),
        /** The remaining chunks of a call will not be sent. */
        CANCEL(6),
        /** Region of the daemon that opened the connection; the first frame that it sends. */
        HELLO(7);

        private final int mNumber;

        Kind(int number) {
            mNumber = number;
        }

        /** Returns the number on the wire. */
        int number() {
            return mNumber;
        }
    }

    /** Returns a control frame without a body. */
    static Frame control(Kind kind, long id) {
        return new Frame(kind, id, 0, TrafficClass.URGENT, true, EMPTY_BODY);
    }

    /** Returns the frame that announces the region of this daemon. */
    static Frame hello(byte[] region) {
        return new Frame(Kind.HELLO, 0, 0, TrafficClass.URGENT, true, region);
    }
}
