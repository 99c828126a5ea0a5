package org.hyssoprouter.daemon.peer;

import java.util.Arrays;
import org.hyssoprouter.lib.TrafficClass;

/** Splits the body of a call or answer into frames; used on one event loop only. */
final class OutgoingMessage {
    private final Frame.Kind mKind;
    private final long mId;
    private final int mType;
    private final TrafficClass mTrafficClass;
    private final byte[] mBody;
    private int mSentBytes;
    private boolean mFullySent;

    OutgoingMessage(Frame.Kind kind, long id, int type, TrafficClass trafficClass, byte[] body) {
        mKind = kind;
        mId = id;
        mType = type;
        mTrafficClass = trafficClass;
        mBody = body;
    }

    TrafficClass trafficClass() {
        return mTrafficClass;
    }

    int type() {
        return mType;
    }

    int bodyBytes() {
        return mBody.length;
    }

    /** Returns the size of the next chunk in bytes. */
    int nextChunkBytes() {
        return Math.min(Frame.CHUNK_BYTES, mBody.length - mSentBytes);
    }

    /** Returns whether the last chunk was taken; until then the peer cannot process the message. */
    boolean isFullySent() {
        return mFullySent;
    }

    /** Takes the next chunk. */
    Frame nextChunk() {
        int end = mSentBytes + nextChunkBytes();
        byte[] chunk =
                end == mBody.length && mSentBytes == 0
                        ? mBody
                        : Arrays.copyOfRange(mBody, mSentBytes, end);
        mSentBytes = end;
        mFullySent = end == mBody.length;
        return new Frame(mKind, mId, mType, mTrafficClass, mFullySent, chunk);
    }
}
