package org.hyssoprouter.daemon.peer;

import java.util.Arrays;
import org.hyssoprouter.lib.TrafficClass;

/** A call or answer on its way out, cut into chunks one by one; used on its event loop only. */
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

    /** Returns the bytes of the next chunk. */
    int nextChunkBytes() {
        return Math.min(Frame.CHUNK_BYTES, mBody.length - mSentBytes);
    }

    /** Returns whether the last chunk was written; before that the far side cannot act on it. */
    boolean isFullySent() {
        return mFullySent;
    }

    /** Returns the next chunk. */
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
