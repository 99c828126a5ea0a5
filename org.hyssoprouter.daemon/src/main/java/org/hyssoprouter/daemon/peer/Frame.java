package org.hyssoprouter.daemon.peer;

import org.hyssoprouter.lib.TrafficClass;

/**
 * Unit of the link between daemons.
 *
 * @param kind kind of frame
 * @param id correlation id of the call; 0 for pings
 * @param type number of the call's type, on its answer too; 0 for pings
 * @param trafficClass traffic class
 * @param last whether this is the last chunk of its body
 * @param body body or one chunk of it
 */
record Frame(Kind kind, long id, int type, TrafficClass trafficClass, boolean last, byte[] body) {
    /** Largest body of one frame in bytes; larger bodies are cut into chunks. */
    static final int CHUNK_BYTES = 16 * 1024;

    /** Most bytes that a frame needs besides its body. */
    static final int OVERHEAD_BYTES = 64;

    /** Largest encoded frame in bytes. */
    static final int MAX_ENCODED_BYTES = CHUNK_BYTES + OVERHEAD_BYTES;

    private static final byte[] EMPTY_BODY = new byte[0];

    /** Kinds of frames, with their fixed numbers on the wire. */
    enum Kind {
        /** Asks for a sign of life. */
        PING(0),
        /** Answers a ping. */
        PONG(1),
        /** Body of a call. */
        CALL(2),
        /** Body of an answer. */
        ANSWER(3),
        /** The call was not handed to its handler. */
        REJECTED(4),
        /** The handler failed; the call may have had its effect. */
        FAILED(5),
        /** The rest of a call's body will not come. */
        CANCEL(6),
        /** Names the region of the daemon that made the connection; its first frame. */
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

    /** Returns a frame without a body. */
    static Frame control(Kind kind, long id) {
        return new Frame(kind, id, 0, TrafficClass.URGENT, true, EMPTY_BODY);
    }

    /** Returns the frame that names a region. */
    static Frame hello(byte[] region) {
        return new Frame(Kind.HELLO, 0, 0, TrafficClass.URGENT, true, region);
    }
}
