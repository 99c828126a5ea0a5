package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;
import org.jspecify.annotations.Nullable;

/**
 * Simulates a pool in virtual time: workers that run tasks, an approval service and a table of
 * durable rows, driven by a {@link PoolScheduler}. Records a violation if a start exceeds the
 * capacity of a worker, if a task has two active runs, if a completed task starts again, or if a
 * workflow is stored as complete before its tasks have ended so.
 */
final class SimulatedPool {
    static final String POOL = "pool";
    static final SchedulerLimits LIMITS = new SchedulerLimits(6_000, 900, 2_500);

    static final long CALL_MILLIS = 3;
    private static final long TICK_MILLIS = 50;

    /** Interval at which workers write their entries to the list. */
    static final int HEARTBEAT_MILLIS = 500;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<String, SimulatedWorker> mWorkers = new TreeMap<>();
    private final SimulatedStore mStore = new SimulatedStore();
    private final Map<String, WorkflowSpec> mSpecs = new TreeMap<>();
    private final SimulatedRows mRows = new SimulatedRows();
    private final SimulatedTimes mTimes = new SimulatedTimes();
    private final Set<TaskKey> mDone = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();
    private final SimulatedQueues mQueues = new SimulatedQueues();
    private final Function<DurationEstimator, PlacementOrder> mPlacementOrder;
    private final SchedulerLimits mLimits;
    private final SimulatedActivity mActivity = new SimulatedActivity();
    private PoolScheduler mScheduler;
    private long mNowMillis;
    private long mOrder;
    private long mEpoch = 1;
    private boolean mOwned = true;
    private int mStartCount;
    private final SimulatedPolls mPolls = new SimulatedPolls(this);
    private final SimulatedRounds mRounds = new SimulatedRounds();
    private final SimulatedApprovalCalls mApprovalCalls = new SimulatedApprovalCalls();

    private @Nullable SimulatedOrders mOrders;
    private final SimulatedDelays mDelays = new SimulatedDelays();
    private final SimulatedTasks mTasks = new SimulatedTasks();
    private final DeadlyTasks mDeadlyTasks = new DeadlyTasks();
    private final SimulatedWorkspaces mWorkspaces = new SimulatedWorkspaces(this);

    /** Action that runs at a point in virtual time; {@code order} breaks ties. */
    private record Event(long atMillis, long order, Runnable action) {}

    SimulatedPool() {
        this(ObjectiveOrder::new, LIMITS);
    }

    /** Creates a pool whose steps are placed in an order, within the limits of a platform. */
    SimulatedPool(Function<DurationEstimator, PlacementOrder> order, SchedulerLimits limits) {
        mPlacementOrder = order;
        mLimits = limits;
        mScheduler = new PoolScheduler(limits, 0, order);
        at(TICK_MILLIS, this::tick);
    }

    SimulatedPool addQueue(String name, int priority, int maxAttempts, double approvedShare) {
        return addQueue(
                SimulatedQueues.queue(name, priority, maxAttempts, SimulatedQueues.APPROVAL),
                approvedShare);
    }

    /**
     * Adds a queue.
     *
     * @param approvedShare share of the workers that may run a step; 1 if no approval is needed
     */
    SimulatedPool addQueue(QueuePolicy queue, double approvedShare) {
        mQueues.add(queue, approvedShare);
        mScheduler.configure(mQueues.config());
        return this;
    }

    /** Applies other workspaces; a step of the owner's round follows at once. */
    void setWorkspaces(List<WorkspacePolicy> workspaces) {
        mWorkspaces.change(workspaces, mNowMillis);
        mQueues.setWorkspaces(workspaces);
        mScheduler.configure(mQueues.config());
        processOutput();
    }

    SimulatedWorkspaces workspaces() {
        return mWorkspaces;
    }

    SimulatedQueues queues() {
        return mQueues;
    }

    SimulatedWorker addWorker(String id, long cpuMillis) {
        SimulatedWorker worker = new SimulatedWorker(this, id, cpuMillis);
        mWorkers.put(id, worker);
        mStore.list(mScheduler, worker, mNowMillis);
        mPolls.poll(mScheduler, worker, mNowMillis);
        return worker;
    }

    /** Lists a restarted worker after a while. */
    void listAfter(long millis, SimulatedWorker worker) {
        at(millis, () -> mStore.list(mScheduler, worker, mNowMillis));
    }

    /** Lets starts arrive slowly and be carried out late, at random. */
    void useSlowOrders(Random random) {
        mOrders = new SimulatedOrders(this, random);
    }

    SimulatedWorker worker(String id) {
        return Objects.requireNonNull(mWorkers.get(id));
    }

    /** Lists a worker with another capacity. */
    void resizeWorker(SimulatedWorker worker, long cpuMillis) {
        worker.resize(cpuMillis);
        mScheduler.updateWorker(worker.entry(mNowMillis), mNowMillis);
        processOutput();
    }

    SimulatedStore store() {
        return mStore;
    }

    /** Removes a worker from the platform's list without stopping it. */
    void unlistWorker(String id) {
        mStore.unlist(mScheduler, id);
    }

    /** Lists a worker as draining; it leaves after a delay. */
    void drainWorker(SimulatedWorker worker, long remainingMillis) {
        worker.drain(remainingMillis);
        mScheduler.updateWorker(worker.entry(mNowMillis), mNowMillis);
    }

    /** Notifies the scheduler that a worker has left. */
    void reportWorkerLeft(SimulatedWorker worker) {
        reportWorkerLeft(worker.entry(mNowMillis));
    }

    /** Notifies the scheduler that an incarnation of a worker has left as planned. */
    void reportWorkerLeft(WorkerEntry entry) {
        reportWorkerEnded(entry, RunLossCause.LEFT);
    }

    /** Notifies the scheduler that an incarnation of a worker has ended, and how it knows. */
    void reportWorkerEnded(WorkerEntry entry, RunLossCause cause) {
        mScheduler.handleWorkerLeft(entry, cause, mNowMillis);
        processOutput();
    }

    void submit(WorkflowSpec spec) {
        mSpecs.put(spec.id(), spec);
        mTimes.recordSubmission(spec.id(), mNowMillis);
        if (mOwned) {
            mScheduler.addWorkflow(spec, mNowMillis);
            processOutput();
        }
    }

    SimulatedDelays delays() {
        return mDelays;
    }

    SimulatedApprovalCalls approvalCalls() {
        return mApprovalCalls;
    }

    void cancel(String id) {
        mScheduler.cancelWorkflow(id, mNowMillis);
        processOutput();
    }

    void at(long afterMillis, Runnable action) {
        mEvents.add(new Event(mNowMillis + afterMillis, mOrder++, action));
    }

    /** Runs all events that are due within a time span. */
    void advance(long durationMillis) {
        long untilMillis = mNowMillis + durationMillis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= untilMillis) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.action().run();
        }
        mNowMillis = untilMillis;
    }

    /** Ends the owner; workflows are accepted and runs go on without one. */
    void killOwner() {
        mOwned = false;
        mScheduler = new PoolScheduler(mLimits, mNowMillis, mPlacementOrder);
    }

    /** Replaces the owner with one that starts from the durable rows. */
    void replaceOwner() {
        mOwned = true;
        mEpoch++;
        mScheduler = new PoolScheduler(mLimits, mNowMillis, mPlacementOrder);
        mScheduler.configure(mQueues.config());
        mWorkers.values().stream()
                .filter(worker -> mStore.isListed(worker.mId))
                .forEach(worker -> mStore.list(mScheduler, worker, mNowMillis));
        mStore.readList(mScheduler, mNowMillis);
        mSpecs.forEach(
                (id, spec) -> {
                    WorkflowRow row = mRows.get(id);
                    long acceptedMillis = mTimes.submittedMillis(id);
                    if (row == null) {
                        mScheduler.addWorkflow(spec, acceptedMillis, mNowMillis);
                    } else {
                        mScheduler.restoreWorkflow(spec, row, acceptedMillis, mNowMillis);
                    }
                });
        mWorkers.values().forEach(worker -> mPolls.poll(mScheduler, worker, mNowMillis));
        processOutput();
    }

    WorkflowState stateOf(String id) {
        return mRows.stateOf(id);
    }

    /** Returns the time from submission to completion, in milliseconds, or -1 if not complete. */
    long turnaroundMillis(String id) {
        return mTimes.turnaroundMillis(id);
    }

    SimulatedTimes times() {
        return mTimes;
    }

    PoolScheduler scheduler() {
        return mScheduler;
    }

    List<String> violations() {
        return mViolations;
    }

    int startCount() {
        return mStartCount;
    }

    int approvalRequestCount() {
        return mActivity.total(SimulatedActivity.Kind.ASKED, 0, mNowMillis + 1);
    }

    long nowMillis() {
        return mNowMillis;
    }

    Collection<SimulatedWorker> workers() {
        return mWorkers.values();
    }

    SimulatedRows rows() {
        return mRows;
    }

    Set<TaskKey> doneTasks() {
        return mDone;
    }

    long epoch() {
        return mEpoch;
    }

    DeadlyTasks deadlyTasks() {
        return mDeadlyTasks;
    }

    void recordStart(String workflow) {
        mStartCount++;
        mTimes.recordStart(workflow, mNowMillis);
    }

    /** Returns what the pool did in each second. */
    SimulatedActivity activity() {
        return mActivity;
    }

    SimulatedTasks tasks() {
        return mTasks;
    }

    @Nullable WorkflowSpec spec(String id) {
        return mSpecs.get(id);
    }

    private void tick() {
        mStore.readList(mScheduler, mNowMillis);
        mScheduler.tick(mNowMillis, mNowMillis);
        processOutput();
        at(TICK_MILLIS, this::tick);
    }

    /** Lets at least a time pass between two placement rounds, as a busy owner does. */
    void spaceRounds(long millis) {
        mRounds.space(millis);
    }

    /** Runs a placement round, at once or once it is due, and delivers the scheduler's output. */
    void processOutput() {
        mRounds.request(this, this::runRound);
    }

    private void runRound() {
        PoolScheduler scheduler = mScheduler;
        int approvals = mApprovalCalls.remaining();
        scheduler.place(
                new RoundLimits(
                        mDelays.maxStartingSteps(), Integer.MAX_VALUE, approvals, approvals),
                mNowMillis);
        SchedulerOutput output = scheduler.output();
        output.takeDecisions().stream()
                .filter(it -> it.action().equals("preempted"))
                .forEach(it -> mActivity.count(SimulatedActivity.Kind.PREEMPTED, mNowMillis));
        List<TaskStart> starts = output.takeStarts();
        List<String> changed = output.takeChangedWorkflows();
        if (!changed.isEmpty()) {
            Map<String, WorkflowRow> rows = new HashMap<>();
            changed.forEach(id -> scheduler.row(id).forEach(row -> rows.put(id, row)));
            at(mDelays.commitMillis(), () -> handleCommit(scheduler, rows, starts));
        }
        for (TaskStop stop : output.takeStops()) {
            at(CALL_MILLIS, () -> deliver(scheduler, stop));
        }
        for (ApprovalRequest request : output.takeApprovalRequests()) {
            mActivity.count(SimulatedActivity.Kind.ASKED, mNowMillis);
            mApprovalCalls.add(request.urgency(), () -> callApproval(scheduler, request));
        }
    }

    private void callApproval(PoolScheduler scheduler, ApprovalRequest request) {
        long sentMillis = mNowMillis;
        at(
                (long) request.expectedMillis() + mDelays.approvalReadMillis(),
                () -> {
                    mApprovalCalls.end();
                    approve(scheduler, request, sentMillis);
                });
    }

    private void handleCommit(
            PoolScheduler scheduler, Map<String, WorkflowRow> rows, List<TaskStart> starts) {
        if (!scheduler.equals(mScheduler)) {
            return;
        }
        if (mStore.isAway()) {
            at(TICK_MILLIS, () -> handleCommit(scheduler, rows, starts));
            return;
        }
        mRows.putAll(rows);
        rows.forEach(
                (id, row) -> {
                    if (row.state() == WorkflowState.COMPLETE) {
                        mTimes.recordCompletion(id, mNowMillis);
                        mViolations.addAll(mTasks.findUnended(mSpecs, id));
                    }
                });
        for (TaskStart start : starts) {
            if (!scheduler.confirmStart(start, mNowMillis)) {
                continue;
            }
            if (mOrders != null) {
                mOrders.send(scheduler, start, mEpoch);
                continue;
            }
            long deadlineMillis = scheduler.grantLease(start.workerId(), mNowMillis);
            mActivity.recordStart(start.task().step());
            // A former owner's start that is still on its way carries that owner's epoch.
            long epoch = mEpoch;
            at(CALL_MILLIS, () -> deliver(scheduler, start, epoch, deadlineMillis));
        }
    }

    private void deliver(
            PoolScheduler scheduler, TaskStart start, long epoch, long deadlineMillis) {
        SimulatedWorker worker = mWorkers.get(start.workerId());
        StartOutcome outcome =
                worker == null || worker.isDisconnected()
                        ? StartOutcome.NOT_SENT
                        : worker.start(start, epoch, deadlineMillis);
        at(mDelays.startAnswerMillis(), () -> handleStartOutcome(scheduler, start, outcome));
    }

    /** Passes the outcome of a start to its owner. */
    void handleStartOutcome(PoolScheduler scheduler, TaskStart start, StartOutcome outcome) {
        scheduler.handleStartOutcome(start, outcome, mNowMillis);
        if (scheduler.equals(mScheduler)) {
            processOutput();
        }
    }

    private void deliver(PoolScheduler scheduler, TaskStop stop) {
        SimulatedWorker worker = mWorkers.get(stop.workerId());
        boolean reachable = worker != null && !worker.isDisconnected();
        if (worker != null && reachable) {
            worker.stop(stop);
        }
        long sentMillis = mNowMillis - CALL_MILLIS;
        at(CALL_MILLIS, () -> scheduler.handleStopReply(stop, reachable, sentMillis, mNowMillis));
    }

    private void approve(PoolScheduler scheduler, ApprovalRequest request, long sentMillis) {
        WorkflowSpec spec = mSpecs.get(request.step().workflow());
        double share = spec == null ? 0 : mQueues.approvedShare(spec.queue());
        long validMillis = spec == null ? 0 : mQueues.validMillis(spec.queue());
        long untilMillis = mNowMillis - mDelays.approvalReadMillis() + validMillis;
        Map<String, String> tickets = mApprovalCalls.issueTickets(request, share, untilMillis);
        mActivity.recordTickets(request.step(), !tickets.isEmpty());
        at(validMillis, () -> mActivity.expireTickets(request.step(), mNowMillis));
        scheduler.handleApproval(
                request, new ApprovalTickets(tickets, validMillis), sentMillis, mNowMillis);
        if (scheduler.equals(mScheduler)) {
            processOutput();
        }
    }
}
