package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.EndKind;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** A worker that starts whatever it is told to. */
final class SimulatedWorker {
    /** Time of day at the start of the simulation. */
    private static final long EPOCH_MILLIS = 1_000_000;

    private final SimulatedPool mPool;
    final String mId;
    private final Room mCapacity;
    private final Map<TaskKey, Run> mRuns = new TreeMap<>(Comparator.comparing(k -> "" + k));
    private final Map<TaskKey, Integer> mBarred = new HashMap<>();
    private final List<RunReport.Ended> mEnded = new ArrayList<>();
    private boolean mDown;
    private boolean mDraining;
    private long mLeavesMillis;
    private int mTicketsRefused;
    private boolean mFails;
    private boolean mStalls;
    private boolean mDropsAnswers;
    private boolean mLosesStarts;
    private long mReported;
    private double mSlowness = 1;
    private long mSequence;
    private long mToken;
    private long mBornMillis = EPOCH_MILLIS;
    private long mDeadlineMillis;

    SimulatedWorker(SimulatedPool pool, String id, long cpuMillis) {
        mPool = pool;
        mId = id;
        mCapacity = new Room(cpuMillis, 1L << 40, 0);
    }

    private record Run(TaskStart order, StepSpec spec, long startMillis, long workMillis) {}

    WorkerEntry entry(long nowMillis) {
        return new WorkerEntry(
                mId,
                SimulatedPool.POOL,
                mId + ":1",
                "domain",
                "r1",
                List.of("a", "r1"),
                mCapacity,
                mDraining,
                Math.max(0, mLeavesMillis - nowMillis),
                nowMillis,
                mBornMillis);
    }

    /** Returns the number of starts whose ticket had expired. */
    int ticketsRefused() {
        return mTicketsRefused;
    }

    boolean isDown() {
        return mDown;
    }

    /** Cuts the worker off; its runs go on until their lease ends. */
    void cut(boolean down) {
        mDown = down;
    }

    /** Announces that the worker leaves after some time, with everything that runs on it. */
    void drain(long remainingMillis) {
        mDraining = true;
        mLeavesMillis = mPool.nowMillis() + remainingMillis;
        mPool.at(
                remainingMillis,
                () -> {
                    mRuns.clear();
                    mDown = true;
                });
    }

    void failEverything(boolean fails) {
        mFails = fails;
    }

    void stallEverything(boolean stalls) {
        mStalls = stalls;
    }

    void dropAnswers(boolean drops) {
        mDropsAnswers = drops;
    }

    void slowDown(double factor) {
        mSlowness = factor;
    }

    void restart() {
        restart(0);
    }

    /**
     * Ends the present life and begins another one.
     *
     * @param clockErrorMillis error of the time of day at the start of the new life
     */
    void restart(long clockErrorMillis) {
        mRuns.clear();
        mBarred.clear();
        mEnded.clear();
        mSequence = 0;
        mReported = 0;
        mToken = 0;
        mBornMillis = mPool.nowMillis() + EPOCH_MILLIS + clockErrorMillis;
    }

    StartOutcome start(TaskStart order, long token, long deadlineMillis) {
        if (mLosesStarts) {
            return StartOutcome.UNKNOWN;
        }
        if (token < mToken) {
            return StartOutcome.FENCED;
        }
        mToken = token;
        if (mRuns.containsKey(order.task())) {
            mPool.breaches().add("twice on one worker: " + order.task());
        }
        if (order.run() <= mBarred.getOrDefault(order.task(), 0)) {
            return StartOutcome.OLD_RUN;
        }
        WorkflowSpec workflow = mPool.spec(order.task().step().workflow());
        if (workflow == null) {
            return StartOutcome.INVALID;
        }
        if (!mPool.isTicketValid(mId, order.task().step())) {
            mTicketsRefused++;
            return StartOutcome.NO_TICKET;
        }
        StepSpec spec = workflow.steps().get(order.task().step().step());
        check(order, spec);
        mPool.countStart();
        mDeadlineMillis = Math.max(mDeadlineMillis, deadlineMillis);
        long workMillis = (long) (spec.estimateMillis() * mSlowness);
        Run run = new Run(order, spec, mPool.nowMillis(), workMillis);
        mRuns.put(order.task(), run);
        if (!mStalls) {
            mPool.at(mFails ? workMillis / 10 : workMillis, () -> over(run));
        }
        return mDropsAnswers ? StartOutcome.UNKNOWN : StartOutcome.ACCEPTED;
    }

    private void check(TaskStart order, StepSpec spec) {
        Room used = spec.room();
        for (Run run : mRuns.values()) {
            used = used.plus(run.spec().room());
        }
        if (!used.fitsIn(mCapacity)) {
            mPool.breaches().add("overfull: " + mId + " by " + order.task());
        }
        if (mPool.done().contains(order.task())) {
            mPool.breaches().add("started after its end: " + order.task());
        }
        for (SimulatedWorker other : mPool.workers()) {
            if (other != this && other.mRuns.containsKey(order.task())) {
                mPool.breaches().add("in two places: " + order.task());
            }
        }
    }

    private void over(Run run) {
        if (!run.equals(mRuns.get(run.order().task()))) {
            return;
        }
        if (mFails) {
            end(run, EndKind.FAILED);
            return;
        }
        if (run.spec().gang()) {
            endGang(run);
            return;
        }
        mPool.done().add(run.order().task());
        end(run, EndKind.DONE);
    }

    private void endGang(Run run) {
        for (SimulatedWorker worker : mPool.workers()) {
            for (Run member : new ArrayList<>(worker.mRuns.values())) {
                if (member.order().task().step().equals(run.order().task().step())) {
                    mPool.done().add(member.order().task());
                    worker.end(member, EndKind.DONE);
                }
            }
        }
    }

    private void end(Run run, EndKind kind) {
        mRuns.remove(run.order().task());
        mBarred.merge(run.order().task(), run.order().run(), Math::max);
        mEnded.add(
                new RunReport.Ended(
                        ++mSequence, run.order().task(), run.order().run(), kind, "saved"));
    }

    void stop(TaskStop stop) {
        mBarred.merge(stop.task(), stop.run(), Math::max);
        Run run = mRuns.get(stop.task());
        if (run != null && run.order().run() == stop.run()) {
            mPool.at(
                    100,
                    () -> {
                        if (run.equals(mRuns.get(stop.task()))) {
                            end(run, EndKind.STOPPED);
                        }
                    });
        }
    }

    void renew(long deadlineMillis) {
        mDeadlineMillis = Math.max(mDeadlineMillis, deadlineMillis);
    }

    /** Returns whether a run has ended since the last report. */
    boolean hasNews() {
        return mSequence > mReported;
    }

    /** Loses orders to start a run on their way, without an answer. */
    void loseStarts(boolean loses) {
        mLosesStarts = loses;
    }

    RunReport report() {
        mToken = mPool.epoch();
        mReported = mSequence;
        List<RunReport.Running> running = new ArrayList<>();
        for (Run run : mRuns.values()) {
            long percent = 100 * (mPool.nowMillis() - run.startMillis()) / (run.workMillis() + 1);
            running.add(
                    new RunReport.Running(
                            run.order().task(),
                            run.order().run(),
                            "saved",
                            mStalls ? 0 : (int) Math.min(99, percent),
                            0));
        }
        return new RunReport(mPool.nowMillis(), mBornMillis, running, new ArrayList<>(mEnded));
    }

    /** Kills what runs without a lease; called by tests that cut workers off. */
    void lapse() {
        if (mPool.nowMillis() > mDeadlineMillis) {
            new ArrayList<>(mRuns.values()).forEach(run -> end(run, EndKind.LAPSED));
        }
    }
}
