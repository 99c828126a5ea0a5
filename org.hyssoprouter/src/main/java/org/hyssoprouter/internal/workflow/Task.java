package org.hyssoprouter.internal.workflow;

import java.util.HashSet;
import java.util.Set;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/** A task of a step, and where its present run is. */
final class Task {
    final Step mStep;
    final TaskKey mKey;
    final Set<String> mFailedOn = new HashSet<>();
    Phase mPhase = Phase.WAITING;
    int mRun;
    int mFailures;
    int mPreemptions;
    String mCheckpoint = "";
    @Nullable PoolWorker mWorker;
    long mPhaseMillis;
    int mPercent;
    long mPercentMillis;
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

    /** Returns whether the task occupies room on a worker. */
    boolean occupies() {
        return mWorker != null;
    }

    void enter(Phase phase, long nowMillis) {
        mPhase = phase;
        mPhaseMillis = nowMillis;
    }

    /** Frees the room of the run that is over and waits for the next one. */
    void leaveWorker(long nowMillis) {
        PoolWorker worker = mWorker;
        if (worker != null) {
            worker.release(mKey);
        }
        mWorker = null;
        mStopSentMillis = 0;
        mStopAckMillis = 0;
        if (mPhase != Phase.DONE) {
            enter(Phase.WAITING, nowMillis);
        }
    }
}
