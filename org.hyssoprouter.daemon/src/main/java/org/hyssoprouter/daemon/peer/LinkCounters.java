package org.hyssoprouter.daemon.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts of the link between daemons, for metrics.
 *
 * @since 0.1
 */
public final class LinkCounters {
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

    void sent(int bytes) {
        mSentBytes.add(bytes);
    }

    void received(int bytes) {
        mReceivedBytes.add(bytes);
    }

    void lateAnswer() {
        mLateAnswers.increment();
    }

    void silentConnection() {
        mSilentConnections.increment();
    }

    void corruptConnection() {
        mCorruptConnections.increment();
    }
}
