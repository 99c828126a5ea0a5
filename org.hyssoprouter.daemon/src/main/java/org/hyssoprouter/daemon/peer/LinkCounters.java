package org.hyssoprouter.daemon.peer;

import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of the link between daemons, for metrics.
 *
 * @since 0.1
 */
public final class LinkCounters {
    private static final int MAX_TYPES = 64;

    private final AtomicLongArray mCrossRegionBytes = new AtomicLongArray(MAX_TYPES);
    private final LongAdder mSentBytes = new LongAdder();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final LongAdder mLateAnswers = new LongAdder();
    private final LongAdder mSilentConnections = new LongAdder();
    private final LongAdder mCorruptConnections = new LongAdder();

    /** Returns the bytes written in frames. */
    public long sentBytes() {
        return mSentBytes.sum();
    }

    /** Returns the bytes read in frames. */
    public long receivedBytes() {
        return mReceivedBytes.sum();
    }

    /** Returns the answers that came after their call had ended and were dropped. */
    public long lateAnswers() {
        return mLateAnswers.sum();
    }

    /** Returns the connections closed because nothing was heard on them. */
    public long silentConnections() {
        return mSilentConnections.sum();
    }

    /** Returns the connections closed because of a frame that is not allowed. */
    public long corruptConnections() {
        return mCorruptConnections.sum();
    }

    /**
     * Returns the bytes sent to other regions for calls of a type and their answers.
     *
     * @param type number of the type
     */
    public long crossRegionBytes(int type) {
        return type >= 0 && type < MAX_TYPES ? mCrossRegionBytes.get(type) : 0;
    }

    void recordCrossRegionBytes(int type, int bytes) {
        mCrossRegionBytes.addAndGet(Math.min(Math.max(0, type), MAX_TYPES - 1), bytes);
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
