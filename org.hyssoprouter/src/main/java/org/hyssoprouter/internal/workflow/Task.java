package org.hyssoprouter.internal.workflow;

import java.util.HashSet;
import java.util.Set;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/** A task of a step, and where its present run is. */
final class Task {
    private static final int UNKNOWN_PERCENT = -1;
    private static final int COMPLETE_PERCENT = 100;

    final Step mStep;
    final TaskKey mKey;
    final Set<String> mFailedWorkers = new HashSet<>();
    Phase mPhase = Phase.WAITING;
    int mRun;
    int mFailures;
    int mPreemptions;
    String mCheckpoint = "";
    @Nullable PoolWorker mWorker;
    long mPhaseMillis;
    int mPercent;
    long mPercentMillis;
    private int mFirstPercent;
    private long mFirstPercentMillis;
    long mStopSentMillis;
    long mStopAckMillis;

    Task(Step step, int index) {
        mStep = step;
        mKey = new TaskKey(step.mKey, index);
    }

    /** Where the present run of a task is. */
    enum Phase {
        /** It has no run. */
        WAITING,
        /** Its start is being made durable or is on its way. */
        PLACED,
        /** It runs. */
        RUNNING,
        /** It was ordered to stop and may run or arrive still. */
        STOPPING,
        /** A former owner started it; its worker was not heard yet. */
        INHERITED,
        /** It has done its work. */
        DONE
    }

    /** Takes note of a run that works, whose progress is not known yet. */
    void markRunning(long nowMillis) {
        setPhase(Phase.RUNNING, nowMillis);
        mPercent = UNKNOWN_PERCENT;
        mPercentMillis = nowMillis;
    }

    /** Takes note of the progress of the present run. */
    void recordProgress(int percent, long nowMillis) {
        if (percent == mPercent) {
            return;
        }
        if (mPercent == UNKNOWN_PERCENT) {
            mFirstPercent = percent;
            mFirstPercentMillis = nowMillis;
        }
        mPercent = percent;
        mPercentMillis = nowMillis;
    }

    /** Returns when the present run ends at the speed seen so far, or -1 if that is not known. */
    long expectedEndMillis() {
        int done = mPercent - mFirstPercent;
        if (mPhase != Phase.RUNNING || mPercent == UNKNOWN_PERCENT || done <= 0) {
            return -1;
        }
        long tookMillis = mPercentMillis - mFirstPercentMillis;
        return mPercentMillis + tookMillis * (COMPLETE_PERCENT - mPercent) / done;
    }

    /** Returns whether the task occupies room on a worker. */
    boolean occupies() {
        return mWorker != null;
    }

    void setPhase(Phase phase, long nowMillis) {
        mPhase = phase;
        mPhaseMillis = nowMillis;
    }

    /** Frees the room of the run that is over and waits for the next one. */
    void releaseWorker(long nowMillis) {
        PoolWorker worker = mWorker;
        if (worker != null) {
            worker.release(mKey);
        }
        mWorker = null;
        mStopSentMillis = 0;
        mStopAckMillis = 0;
        if (mPhase != Phase.DONE) {
            setPhase(Phase.WAITING, nowMillis);
        }
    }
}
