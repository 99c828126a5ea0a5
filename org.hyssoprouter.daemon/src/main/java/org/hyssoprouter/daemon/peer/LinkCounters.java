package org.hyssoprouter.daemon.peer;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Traffic and fault counters of the peer link, for metrics. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class LinkCounters {
    private static final int MAX_CALL_TYPES = 64;

    private final AtomicLongArray mCrossRegionBytes = new AtomicLongArray(MAX_CALL_TYPES);
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mLateAnswers = new LongAdder();
    private final LongAdder mSilentConnections = new LongAdder();
    private final LongAdder mCorruptConnections = new LongAdder();

    /** Returns the bytes of all frames sent, with their length prefixes. */
    public long sentBytes() {
        return mSentBytes.sum();
    }

    /** Returns the bytes of all frames received, with their length prefixes. */
    public long receivedBytes() {
        return mReceivedBytes.sum();
    }

    /** Returns the number of answers discarded because their call had already ended. */
    public long lateAnswers() {
        return mLateAnswers.sum();
    }

    /** Returns the number of connections closed because the peer was silent for too long. */
    public long silentConnections() {
        return mSilentConnections.sum();
    }

    /** Returns the number of connections closed because of a malformed or unexpected frame. */
    public long corruptConnections() {
        return mCorruptConnections.sum();
    }

    /**
     * Returns the bytes sent to other regions for calls of one type and their answers.
     *
     * @param type number of the call type, see {@code PeerCallType}
     */
    public long crossRegionBytes(int type) {
        return type >= 0 && type < MAX_CALL_TYPES ? mCrossRegionBytes.get(type) : 0;
    }

    void recordCrossRegionBytes(int type, int bytes) {
        mCrossRegionBytes.addAndGet(Math.min(Math.max(0, type), MAX_CALL_TYPES - 1), bytes);
    }

    void recordSent(int bytes) {
        mSentBytes.add(bytes);
    }

    void recordReceived(int bytes) {
        mReceivedBytes.add(bytes);
    }

    void recordLateAnswer() {
        mLateAnswers.increment();
    }

    void recordSilentConnection() {
        mSilentConnections.increment();
    }

    void recordCorruptConnection() {
        mCorruptConnections.increment();
    }
}
