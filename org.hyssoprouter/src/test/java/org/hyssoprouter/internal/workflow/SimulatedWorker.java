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

/**
 * Simulated worker that starts every run it is ordered to start, and records violations of the
 * scheduler's invariants. It can be made to fail, stall, lose messages, restart and leave.
 */
final class SimulatedWorker {
    /** Time of day at the start of the simulation. */
    private static final long EPOCH_MILLIS = 1_000_000;

    /** Time from a crash to the start of the next incarnation. */
    static final long DOWN_MILLIS = 3_000;

    /** Time after which a task that crashes its worker does so. */
    private static final long CRASH_DELAY_MILLIS = 10;

    private final SimulatedPool mPool;
    final String mId;
    private Room mCapacity;
    private final Map<TaskKey, SimulatedRun> mRuns =
            new TreeMap<>(Comparator.comparing(k -> "" + k));

    /**
     * Highest run of each task that has ended or was ordered to stop; starts up to it are rejected.
     */
    private final Map<TaskKey, Integer> mHighestRuns = new HashMap<>();

    private final List<RunReport.Ended> mEnded = new ArrayList<>();
    private boolean mDisconnected;
    private boolean mDraining;
    private long mDepartureMillis;
    private int mRejectedTicketCount;
    private boolean mFailing;
    private boolean mStalling;
    private boolean mDroppingAnswers;
    private boolean mLosingStarts;
    private long mReportedSequence;
    private double mSlowdownFactor = 1;
    private long mSequence;
    private long mFencingToken;
    private long mIncarnationMillis = EPOCH_MILLIS;
    private long mDeadlineMillis;

    SimulatedWorker(SimulatedPool pool, String id, long cpuMillis) {
        mPool = pool;
        mId = id;
        mCapacity = new Room(cpuMillis, 1L << 40, 0);
    }

    /** Adjusts the speeds of all runs to what runs beside them. */
    private void updateRates() {
        for (SimulatedRun run : mRuns.values()) {
            List<String> beside = new ArrayList<>();
            for (SimulatedRun other : mRuns.values()) {
                if (other != run) {
                    beside.add(other.spec().habits().image());
                }
            }
            String image = run.spec().habits().image();
            double rate = 1 / mPool.tasks().slowdown(image, beside);
            if (rate == run.mRate && run.mVersion > 0) {
                continue;
            }
            run.setRate(rate, mPool.nowMillis());
            int version = run.mVersion;
            if (!mStalling && !mFailing) {
                mPool.at(
                        run.remainingMillis(),
                        () -> {
                            if (run.mVersion == version) {
                                finishRun(run);
                            }
                        });
            }
        }
    }

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
                Math.max(0, mDepartureMillis - nowMillis),
                nowMillis,
                mIncarnationMillis);
    }

    /** Returns the number of starts that were rejected because their ticket had expired. */
    int rejectedTicketCount() {
        return mRejectedTicketCount;
    }

    boolean isDisconnected() {
        return mDisconnected;
    }

    /**
     * Connects or disconnects the worker. Runs of a disconnected worker continue until their lease
     * expires.
     */
    void setDisconnected(boolean disconnected) {
        mDisconnected = disconnected;
    }

    /** Marks the worker as draining. It leaves after a delay, and its runs end with it. */
    void drain(long remainingMillis) {
        mDraining = true;
        mDepartureMillis = mPool.nowMillis() + remainingMillis;
        mPool.at(
                remainingMillis,
                () -> {
                    mRuns.clear();
                    mDisconnected = true;
                });
    }

    void setFailing(boolean failing) {
        mFailing = failing;
    }

    void setStalling(boolean stalling) {
        mStalling = stalling;
    }

    void setDroppingAnswers(boolean dropping) {
        mDroppingAnswers = dropping;
    }

    void setSlowdown(double factor) {
        mSlowdownFactor = factor;
    }

    void restart() {
        restart(0);
    }

    /**
     * Ends the current incarnation and starts a new one.
     *
     * @param clockErrorMillis error of the time of day at the start of the new incarnation, in
     *     milliseconds
     */
    void restart(long clockErrorMillis) {
        beginIncarnation(clockErrorMillis);
        mPool.listAfter(SimulatedPool.HEARTBEAT_MILLIS, this);
    }

    private void beginIncarnation(long clockErrorMillis) {
        mRuns.clear();
        mHighestRuns.clear();
        mEnded.clear();
        mSequence = 0;
        mReportedSequence = 0;
        mFencingToken = 0;
        mIncarnationMillis = mPool.nowMillis() + EPOCH_MILLIS + clockErrorMillis;
    }

    /** Changes the capacity, which the next entry shows. */
    void resize(long cpuMillis) {
        mCapacity = new Room(cpuMillis, 1L << 40, 0);
    }

    /**
     * Ends all runs at once, and with them the gangs that they belong to; a new incarnation starts
     * after a while.
     */
    void crash() {
        crash(DOWN_MILLIS, SimulatedPool.HEARTBEAT_MILLIS);
    }

    /** Crashes, starts again after a while, and is listed another while later. */
    void crash(long downMillis, long listMillis) {
        List<SimulatedRun> lost = List.copyOf(mRuns.values());
        mRuns.clear();
        // An end that is lost with its worker before the owner has made it durable did not count.
        mEnded.stream()
                .map(RunReport.Ended::task)
                .filter(task -> !mPool.rows().isDone(task))
                .forEach(mPool.doneTasks()::remove);
        lost.stream().filter(it -> it.spec().gang()).forEach(this::breakGang);
        mDisconnected = true;
        mPool.at(
                downMillis,
                () -> {
                    mDisconnected = false;
                    beginIncarnation(0);
                    mPool.listAfter(listMillis, this);
                });
    }

    private void crashDuring(SimulatedRun run) {
        if (run.equals(mRuns.get(run.order().task()))) {
            mPool.deadlyTasks().countCrash(run.order().task());
            crash(mPool.deadlyTasks().downMillis(), SimulatedPool.HEARTBEAT_MILLIS);
        }
    }

    long incarnationMillis() {
        return mIncarnationMillis;
    }

    /** Carries out an order that may be a repeat, or one from before a restart. */
    StartOutcome repeatableStart(TaskStart order, long token, long deadlineMillis) {
        SimulatedRun present = mRuns.get(order.task());
        if (present != null && present.order().run() == order.run() && token >= mFencingToken) {
            return StartOutcome.ACCEPTED;
        }
        if (order.run() <= mHighestRuns.getOrDefault(order.task(), 0)) {
            return token < mFencingToken ? StartOutcome.FENCED : StartOutcome.OLD_RUN;
        }
        if (deadlineMillis == 0) {
            return StartOutcome.TOO_LATE;
        }
        return start(order, token, deadlineMillis);
    }

    StartOutcome start(TaskStart order, long token, long deadlineMillis) {
        if (mLosingStarts) {
            return StartOutcome.UNKNOWN;
        }
        if (token < mFencingToken) {
            return StartOutcome.FENCED;
        }
        mFencingToken = token;
        if (mRuns.containsKey(order.task())) {
            mPool.violations().add("started twice on one worker: " + order.task());
        }
        if (order.run() <= mHighestRuns.getOrDefault(order.task(), 0)) {
            return StartOutcome.OLD_RUN;
        }
        WorkflowSpec workflow = mPool.spec(order.task().step().workflow());
        if (workflow == null) {
            return StartOutcome.INVALID;
        }
        if (!mPool.approvalCalls().isTicketValid(mId, order.task().step(), mPool.nowMillis())) {
            mRejectedTicketCount++;
            return StartOutcome.NO_TICKET;
        }
        StepSpec spec = workflow.steps().get(order.task().step().step());
        checkInvariants(order, spec);
        mPool.workspaces().checkStart(workflow.workspace(), spec.room(), mPool.nowMillis());
        mPool.recordStart(order.task().step().workflow());
        mDeadlineMillis = Math.max(mDeadlineMillis, deadlineMillis);
        long remainingMillis =
                mPool.tasks().taskMillis(order.task().step(), spec)
                        - mPool.tasks().savedMillis(order.task());
        double factor = mSlowdownFactor * mPool.tasks().taskFactor(order.task());
        long restoreMillis = mPool.tasks().restoreMillis(order.task());
        long workMillis = restoreMillis + (long) (Math.max(0, remainingMillis) * factor);
        SimulatedRun run =
                new SimulatedRun(order, spec, mPool.nowMillis(), workMillis, restoreMillis);
        mRuns.put(order.task(), run);
        if (mPool.deadlyTasks().contains(order.task())) {
            mPool.at(CRASH_DELAY_MILLIS, () -> crashDuring(run));
        }
        if (mFailing && !mStalling) {
            mPool.at(workMillis / 10, () -> finishRun(run));
        }
        updateRates();
        return mDroppingAnswers ? StartOutcome.UNKNOWN : StartOutcome.ACCEPTED;
    }

    private void checkInvariants(TaskStart order, StepSpec spec) {
        Room used = spec.room();
        for (SimulatedRun run : mRuns.values()) {
            used = used.plus(run.spec().room());
        }
        if (!used.fitsIn(mCapacity)) {
            mPool.violations()
                    .add("capacity exceeded: " + mId + " at the start of " + order.task());
        }
        if (mPool.doneTasks().contains(order.task())) {
            mPool.violations().add("started after completion: " + order.task());
        }
        for (SimulatedWorker other : mPool.workers()) {
            if (other != this && other.mRuns.containsKey(order.task())) {
                mPool.violations().add("active on two workers: " + order.task());
            }
        }
    }

    private void finishRun(SimulatedRun run) {
        if (!run.equals(mRuns.get(run.order().task()))) {
            return;
        }
        if (mFailing) {
            endRun(run, EndKind.FAILED);
            return;
        }
        if (run.spec().gang()) {
            run.mFinished = true;
            // A gang is as slow as its slowest member.
            if (isGangFinished(run)) {
                endGang(run);
            }
            return;
        }
        mPool.doneTasks().add(run.order().task());
        mPool.tasks().recordDone(run.order().task());
        endRun(run, EndKind.DONE);
    }

    private boolean isGangFinished(SimulatedRun run) {
        int members = 0;
        for (SimulatedWorker worker : mPool.workers()) {
            for (SimulatedRun member : worker.mRuns.values()) {
                boolean sameGang =
                        member.order().task().step().equals(run.order().task().step())
                                && member.order().run() == run.order().run();
                if (sameGang && !member.mFinished) {
                    return false;
                }
                members += sameGang ? 1 : 0;
            }
        }
        return members == run.spec().taskCount();
    }

    private void breakGang(SimulatedRun lost) {
        for (SimulatedWorker worker : mPool.workers()) {
            for (SimulatedRun member : List.copyOf(worker.mRuns.values())) {
                if (member.order().task().step().equals(lost.order().task().step())) {
                    worker.endRun(member, EndKind.BROKEN);
                }
            }
        }
    }

    private void endGang(SimulatedRun run) {
        for (SimulatedWorker worker : mPool.workers()) {
            for (SimulatedRun member : new ArrayList<>(worker.mRuns.values())) {
                if (member.order().task().step().equals(run.order().task().step())) {
                    mPool.doneTasks().add(member.order().task());
                    mPool.tasks().recordDone(member.order().task());
                    worker.endRun(member, EndKind.DONE);
                }
            }
        }
    }

    private void endRun(SimulatedRun run, EndKind kind) {
        mRuns.remove(run.order().task());
        updateRates();
        mHighestRuns.merge(run.order().task(), run.order().run(), Math::max);
        mEnded.add(
                new RunReport.Ended(
                        ++mSequence, run.order().task(), run.order().run(), kind, "saved"));
    }

    void stop(TaskStop stop) {
        mHighestRuns.merge(stop.task(), stop.run(), Math::max);
        SimulatedRun run = mRuns.get(stop.task());
        if (run != null && run.order().run() == stop.run()) {
            mPool.at(
                    mPool.tasks().stopMillis(),
                    () -> {
                        if (run.equals(mRuns.get(stop.task()))) {
                            long workedMillis =
                                    mPool.nowMillis()
                                            - run.startMillis()
                                            - run.restoreMillis()
                                            - mPool.tasks().stopMillis();
                            mPool.tasks()
                                    .recordInterruption(
                                            stop.task(), run.spec(), Math.max(0, workedMillis));
                            endRun(run, EndKind.STOPPED);
                        }
                    });
        }
    }

    /** Returns the CPU that the runs of a workspace use, in thousandths of a core. */
    long cpuMillisOf(String workspace) {
        long cpuMillis = 0;
        for (SimulatedRun run : mRuns.values()) {
            WorkflowSpec workflow = mPool.spec(run.order().task().step().workflow());
            boolean counts = workflow != null && workflow.workspace().equals(workspace);
            cpuMillis += counts ? run.spec().room().cpuMillis() : 0;
        }
        return cpuMillis;
    }

    void renewLease(long deadlineMillis) {
        mDeadlineMillis = Math.max(mDeadlineMillis, deadlineMillis);
    }

    /** Returns whether a task of a workflow runs here. */
    boolean hasRunOf(String workflow) {
        return mRuns.keySet().stream().anyMatch(it -> it.step().workflow().equals(workflow));
    }

    /** Returns whether a run has ended since the last report. */
    boolean hasUnreportedEnds() {
        return mSequence > mReportedSequence;
    }

    /** Sets whether start orders are lost before they arrive. */
    void setLosingStarts(boolean losing) {
        mLosingStarts = losing;
    }

    RunReport report() {
        mFencingToken = mPool.epoch();
        mReportedSequence = mSequence;
        List<RunReport.Running> running = new ArrayList<>();
        for (SimulatedRun run : mRuns.values()) {
            long percent = (long) (100 * run.doneMillis(mPool.nowMillis()) / (run.mWorkMillis + 1));
            running.add(
                    new RunReport.Running(
                            run.order().task(),
                            run.order().run(),
                            "saved",
                            mStalling ? 0 : (int) Math.min(99, percent),
                            0));
        }
        return new RunReport(
                mPool.nowMillis(), mIncarnationMillis, running, new ArrayList<>(mEnded));
    }

    /** Ends all runs if the lease has expired. Called by tests that disconnect workers. */
    void expireLeases() {
        if (mPool.nowMillis() > mDeadlineMillis) {
            new ArrayList<>(mRuns.values()).forEach(run -> endRun(run, EndKind.LAPSED));
        }
    }
}
