package org.hyssoprouter.standin.executor;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.standin.Connection;

/** Epochs, slots, connections and history of one executor, under one lock. */
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

    /** Remembers the epoch unless it is older than one seen; returns whether it is not. */
    synchronized boolean acceptEpoch(String shard, long epoch) {
        long seen = mEpochs.getOrDefault(shard, 0L);
        if (epoch < seen) {
            return false;
        }
        mEpochs.put(shard, epoch);
        return true;
    }

    /** Begins a run, also when all slots are in use, which is counted. */
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

    /** Counts a connection once it carries a call. */
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
