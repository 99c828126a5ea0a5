package org.hyssoprouter.standin.executor;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.standin.Connection;

/** Thread-safe state of one simulated executor: epochs, slots, connections and history. */
final class ExecutorState {
    private final String mExecutor;
    private final int mSlots;
    private final int mConnectionLimit;
    private final Clock mWallClock;
    private final Map<String, Long> mEpochs = new HashMap<>();
    private final Set<Connection> mConnections = new HashSet<>();
    private final List<ExecutorHistory.Run> mRuns = new ArrayList<>();
    private int mSlotsInUse;
    private long mOverfills;
    private long mConnectionOverfills;

    ExecutorState(String executor, int slots, int connectionLimit, Clock wallClock) {
        mExecutor = executor;
        mSlots = slots;
        mConnectionLimit = connectionLimit;
        mWallClock = wallClock;
    }

    /** Accepts {@code epoch} and records it, unless a newer one was recorded for the shard. */
    synchronized boolean acceptEpoch(String shard, long epoch) {
        long highest = mEpochs.getOrDefault(shard, 0L);
        if (epoch < highest) {
            return false;
        }
        mEpochs.put(shard, epoch);
        return true;
    }

    /**
     * Starts a run. If all slots are in use, the run still starts and is counted as an overfill.
     */
    synchronized void startRun(String requestId, String key) {
        mSlotsInUse++;
        if (mSlotsInUse > mSlots) {
            mOverfills++;
        }
        mRuns.add(new ExecutorHistory.Run(requestId, mWallClock.millis(), key));
    }

    synchronized void endRun() {
        mSlotsInUse--;
    }

    synchronized int slotsInUse() {
        return mSlotsInUse;
    }

    /** Adds a connection on its first call and counts it if it exceeds the limit. */
    synchronized void addConnection(Connection connection) {
        if (mConnections.add(connection) && mConnections.size() > mConnectionLimit) {
            mConnectionOverfills++;
        }
    }

    synchronized void removeConnection(Connection connection) {
        mConnections.remove(connection);
    }

    synchronized void silenceConnections() {
        mConnections.forEach(Connection::silence);
    }

    synchronized ExecutorHistory history() {
        return new ExecutorHistory(mExecutor, mOverfills, mConnectionOverfills, List.copyOf(mRuns));
    }
}
