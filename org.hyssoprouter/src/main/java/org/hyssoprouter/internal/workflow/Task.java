package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/** Task of a step and the state of its current run. */
final class Task {
    private static final int UNKNOWN_PERCENT = -1;
    static final int COMPLETE_PERCENT = 100;
    private static final long NO_ANSWER = -1;
    private static final long NEVER_LISTED = -1;

    /** Start of a run that is not known to have begun. */
    static final long NOT_BEGUN = Long.MIN_VALUE;

    /** Number of crashes that are kept; a long-running task may cause any number of them. */
    static final int MAX_PROVED_CRASHES = 8;

    /** Shortest time between two reports of a run from which its duration is extrapolated. */
    private static final long MIN_OBSERVED_MILLIS = 150;

    final Step mStep;
    final TaskKey mKey;

    /** Identifiers of the workers on which a run of this task failed. */
    final Set<String> mFailedWorkers = new HashSet<>();

    Phase mPhase = Phase.WAITING;

    /** Number of the current or last run, 0 before the first one. */
    int mRun;

    int mFailures;

    /** Number of crashes of workers that runs of this task may have caused. */
    int mCrashes;

    /**
     * Workers among these that have certainly crashed while a run of this task was active, with the
     * number of the run and how the owner knows.
     */
    final List<String> mProvedCrashes = new ArrayList<>();

    int mPreemptions;

    /** Urgency of the step when the current run was placed; 0 is the most urgent. */
    int mUrgency;

    String mCheckpoint = "";
    @Nullable PoolWorker mWorker;
    long mPhaseMillis;

    /** Last reported progress of the current run; -1 if not reported yet. */
    int mPercent;

    long mPercentMillis;

    /** First reported progress of the current run, from which its speed is measured. */
    private int mFirstPercent;

    private long mFirstPercentMillis;
    long mStopSentMillis;
    long mStopAckMillis;

    /** Whether a previous owner started the current run. */
    private boolean mInherited;

    /** Whether the start of the current run may have reached its worker. */
    private boolean mStartSent;

    private long mStartSentMillis;

    /** Time of the answer to the start of the current run; -1 if there is none yet. */
    private long mStartAnswerMillis = NO_ANSWER;

    /** Whether an attempt to deliver the start of the current run was not answered. */
    private boolean mAttemptUnanswered;

    /** Whether this owner knows that the worker has begun the current run. */
    private boolean mBegun;

    /**
     * Owner's clock when an accepted start of the current run was sent, by this owner or a former
     * one; the run holds its lease from then on.
     */
    private long mBegunMillis = NOT_BEGUN;

    /** Incarnation of the worker that the current run was sent to or listed by; 0 if unknown. */
    private long mIncarnationMillis;

    /** Whether the current run has lasted for the duration of a trial. */
    private boolean mTrialPassed;

    /** What ran beside the current run; null if nothing is learned from it. */
    @Nullable RunObservation mObservation;

    /** Worker's clock at the first report that listed the current run; -1 before. */
    private long mFirstListedMillis = NEVER_LISTED;

    Task(Step step, int index) {
        mStep = step;
        mKey = new TaskKey(step.mKey, index);
    }

    /** Phase of a task's current run. */
    enum Phase {
        /** The task waits for a run. */
        WAITING,
        /** The run is assigned to a worker; its start is being committed or sent. */
        PLACED,
        /** The run has started. */
        RUNNING,
        /** The run was ordered to stop, but may still be active or start late. */
        STOPPING,
        /** A previous owner started the run; its worker has not reported yet. */
        INHERITED,
        /** The task is complete. */
        DONE;

        /** Returns whether the current run is active or may become so. */
        boolean isActive() {
            return this != WAITING && this != DONE;
        }
    }

    /** Marks the current run as running with unknown progress. */
    void markRunning(long nowMillis) {
        setPhase(Phase.RUNNING, nowMillis);
        mPercent = UNKNOWN_PERCENT;
        mPercentMillis = nowMillis;
    }

    /** Records the progress of the current run. */
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

    /**
     * Returns when the current run is expected to end, extrapolated from its progress so far, in
     * milliseconds; -1 if unknown.
     */
    long expectedEndMillis() {
        int progress = mPercent - mFirstPercent;
        if (mPhase != Phase.RUNNING || mPercent == UNKNOWN_PERCENT || progress <= 0) {
            return -1;
        }
        long elapsedMillis = mPercentMillis - mFirstPercentMillis;
        return mPercentMillis + elapsedMillis * (COMPLETE_PERCENT - mPercent) / progress;
    }

    /**
     * Returns the duration of the whole run, extrapolated from its progress so far, in
     * milliseconds; -1 if it was observed too briefly.
     */
    long projectedMillis(long nowMillis) {
        long elapsedMillis = nowMillis - mFirstPercentMillis;
        if (mPhase != Phase.RUNNING
                || mPercent == UNKNOWN_PERCENT
                || elapsedMillis < MIN_OBSERVED_MILLIS) {
            return -1;
        }
        // Progress is reported in whole percent.
        int progress = Math.max(1, mPercent - mFirstPercent);
        return elapsedMillis * COMPLETE_PERCENT / progress;
    }

    /** Returns whether the current run was ordered to stop. */
    boolean isStopOrdered() {
        return mStopSentMillis > 0;
    }

    /**
     * Returns whether the worker had confirmed the stop of the current run before a time; it then
     * also rejects a start that is still on its way.
     */
    boolean isStopConfirmedBefore(long millis) {
        return mStopAckMillis > 0 && mStopAckMillis < millis;
    }

    /** Begins a run on a worker, whose start is yet to be sent. */
    void beginRun(int run, PoolWorker worker, long nowMillis) {
        mRun = run;
        mWorker = worker;
        mStartSent = false;
        mStartAnswerMillis = NO_ANSWER;
        mAttemptUnanswered = false;
        mInherited = false;
        mBegun = false;
        mBegunMillis = NOT_BEGUN;
        mIncarnationMillis = worker.mIncarnationMillis;
        mTrialPassed = false;
        mObservation = null;
        mFirstListedMillis = NEVER_LISTED;
        setPhase(Phase.PLACED, nowMillis);
    }

    /**
     * Takes over a run that a previous owner may have started.
     *
     * @param begunMillis owner's clock when its accepted start was sent, or {@link #NOT_BEGUN}
     * @param incarnationMillis incarnation of the worker that had the run; 0 if unknown
     */
    void inheritRun(PoolWorker worker, long begunMillis, long incarnationMillis, long nowMillis) {
        beginRun(mRun, worker, nowMillis);
        mBegunMillis = begunMillis;
        mIncarnationMillis = incarnationMillis;
        markStartSent(nowMillis);
        mInherited = true;
        setPhase(Phase.INHERITED, nowMillis);
    }

    /** Returns whether a previous owner started the current run, which is of no more use. */
    boolean isInheritedSurplus() {
        return mInherited && mPhase == Phase.DONE && mWorker != null && !isStopOrdered();
    }

    void markStartSent(long nowMillis) {
        mStartSent = true;
        mStartSentMillis = nowMillis;
    }

    /** Records that the worker has answered the start of the current run. */
    void recordStartAnswer(long nowMillis) {
        mStartAnswerMillis = nowMillis;
    }

    /**
     * Records that an attempt to deliver the start of the current run was not answered, so that the
     * worker may carry it out at any time.
     */
    void markAttemptUnanswered() {
        mAttemptUnanswered = true;
    }

    /** Returns whether the start of the current run may have reached its worker. */
    boolean isStartSent() {
        return mStartSent;
    }

    /**
     * Returns whether an order of this owner to start the current run may still be carried out. A
     * former owner's orders cannot once the worker has sent this owner a report.
     */
    boolean mayStartLate() {
        return mStartSent && !mInherited && (mStartAnswerMillis < 0 || mAttemptUnanswered);
    }

    /**
     * Returns whether the current run may have started since a time, so that a report requested
     * then need not list it.
     */
    boolean mayHaveStartedSince(long millis) {
        return mStartSent && (mStartSentMillis >= millis || mStartAnswerMillis >= millis);
    }

    /**
     * Returns whether the current run may be active, or become so, in the next incarnation of its
     * worker. It is not if the present incarnation has it and no order to start it is on its way.
     */
    boolean mayReachNextIncarnation() {
        return mStartSent && (mInherited || !wasListed() || mayStartLate());
    }

    /** Discards what the former incarnation of the worker has said about the current run. */
    void resetForIncarnation() {
        mFirstListedMillis = NEVER_LISTED;
        mStopAckMillis = 0;
    }

    /** Records that the worker has accepted the start of the current run. */
    void markBegun() {
        // The answer may come from the incarnation before a restart.
        if (mWorker != null && mWorker.restartKnownMillis() <= mStartSentMillis) {
            mBegun = true;
            mBegunMillis = mStartSentMillis;
        }
    }

    /**
     * Returns whether the worker had certainly begun the current run, and not ended it by its
     * lease, if the worker crashed just before now. Nothing renews the lease of a former owner's
     * run.
     */
    boolean hasBegun(long nowMillis, long leaseMillis) {
        return mBegun || (mBegunMillis != NOT_BEGUN && nowMillis - mBegunMillis < leaseMillis);
    }

    /** Returns when the accepted start of the current run was sent, or {@link #NOT_BEGUN}. */
    long begunMillis() {
        return mBegunMillis;
    }

    /** Returns the incarnation of the worker that has the current run; 0 if unknown. */
    long incarnationMillis() {
        return mIncarnationMillis;
    }

    /** Returns whether the worker has started again since a former owner started the run. */
    boolean hasWorkerRestarted() {
        return mWorker != null
                && mIncarnationMillis != 0
                && mWorker.mIncarnationMillis != 0
                && mIncarnationMillis != mWorker.mIncarnationMillis;
    }

    /**
     * Records that a worker has crashed, which the current run may have caused.
     *
     * @param reason how the owner knows that the worker has ended
     * @param proved whether the worker has certainly crashed while the run was active
     */
    void recordCrash(PoolWorker worker, String reason, boolean proved) {
        mCrashes++;
        String run = "%s in run %d ".formatted(worker, mRun);
        // The former incarnation's answer to the start may arrive after the loss.
        if (proved && mProvedCrashes.stream().noneMatch(it -> it.startsWith(run))) {
            mProvedCrashes.add("%s(%s)".formatted(run, reason));
            if (mProvedCrashes.size() > MAX_PROVED_CRASHES) {
                mProvedCrashes.remove(0);
            }
        }
        // The next incarnation may still be ordered to stop this run, but has not begun it.
        mBegun = false;
        mBegunMillis = NOT_BEGUN;
    }

    /** Returns whether the worker may have begun the current run. */
    boolean mayHaveBegun() {
        return mWorker != null && mStartSent && mPhase != Phase.DONE;
    }

    /**
     * Records that a report lists the current run.
     *
     * @param workerMillis worker's clock at the report, in milliseconds
     */
    void recordListed(long workerMillis) {
        if (mFirstListedMillis < 0) {
            mFirstListedMillis = workerMillis;
        }
        mBegun = true;
        mIncarnationMillis = mWorker == null ? 0 : mWorker.mIncarnationMillis;
        long listedMillis = workerMillis - mFirstListedMillis;
        mTrialPassed |= listedMillis >= CrashTracker.TRIAL_MILLIS;
        if (listedMillis >= CrashTracker.SOUND_RUN_MILLIS) {
            mCrashes = 0;
            mProvedCrashes.clear();
        }
    }

    /** Returns whether a report has listed the current run. */
    boolean wasListed() {
        return mFirstListedMillis != NEVER_LISTED;
    }

    /** Returns whether the current run has lasted for the duration of a trial. */
    boolean hasPassedTrial() {
        return mTrialPassed;
    }

    /** Returns whether a run of this task may have crashed a worker. */
    boolean isSuspect() {
        return mCrashes > 0;
    }

    /** Returns whether the current run is one of a suspect and has not passed its trial yet. */
    boolean isOnTrial() {
        return mWorker != null && isSuspect() && !mTrialPassed && mPhase != Phase.DONE;
    }

    /** Returns whether the task has room allocated on a worker. */
    boolean occupies() {
        return mWorker != null;
    }

    void setPhase(Phase phase, long nowMillis) {
        mStep.onPhaseChanged(mPhase, phase);
        mPhase = phase;
        mPhaseMillis = nowMillis;
    }

    /**
     * Releases the room of an ended run. Unless the task is complete, it waits for its next run.
     */
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
