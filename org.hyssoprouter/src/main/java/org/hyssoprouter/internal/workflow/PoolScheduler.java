package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * Schedules the tasks of workflows on the workers of all pools of one owner. It does no I/O and
 * reads no clock; callers pass the time in and process {@link #output()} after each call. Not
 * thread-safe.
 *
 * <p>Unless stated otherwise, {@code nowMillis} is the owner's monotonic clock, in milliseconds.
 *
 * @since 0.2
 */
public final class PoolScheduler {
    /** Delay before a failed approval request is repeated. */
    private static final long APPROVAL_RETRY_MILLIS = 100;

    /** Validity that a ticket must have when its start order is sent. */
    private static final long DELIVERY_MILLIS = 50;

    private final PoolState mState;
    private final AttemptLimits mAttempts;
    private final RunTracker mRuns;
    private final WorkflowRows mRows;
    private final LostRuns mLostRuns;
    private final PeriodicChecks mPeriodicChecks;
    private final long mOwnershipStartMillis;

    /**
     * Creates a scheduler without workflows and workers.
     *
     * @param limits time limits of the platform
     * @param nowMillis start of the ownership, in milliseconds
     */
    public PoolScheduler(SchedulerLimits limits, long nowMillis) {
        this(limits, nowMillis, ObjectiveOrder::new);
    }

    PoolScheduler(
            SchedulerLimits limits,
            long nowMillis,
            Function<DurationEstimator, PlacementOrder> order) {
        mState = new PoolState(limits, nowMillis, order);
        WorkerHealthTracker health = new WorkerHealthTracker(mState);
        mLostRuns = new LostRuns(mState);
        mAttempts = new AttemptLimits(mState);
        mRows = new WorkflowRows(mState);
        mRuns = new RunTracker(mState, health, mLostRuns, mAttempts);
        mPeriodicChecks = new PeriodicChecks(mState, mLostRuns, health, nowMillis);
        mOwnershipStartMillis = nowMillis;
    }

    /** Returns the output of all calls so far that was not taken yet. */
    public SchedulerOutput output() {
        return mState.mOutput;
    }

    /** Sets how the owner's clock relates to that of the store, by which rows keep times. */
    public void setStoreOffset(StoreOffset offset) {
        mState.mStoreOffset = offset;
    }

    /** Applies a configuration. */
    public void configure(PoolConfig config) {
        mState.configure(config);
    }

    /** Adds a workflow that was accepted just now. */
    public void addWorkflow(WorkflowSpec spec, long nowMillis) {
        addWorkflow(spec, nowMillis, nowMillis);
    }

    /**
     * Adds an accepted workflow. Does nothing if a workflow with its identifier exists.
     *
     * @param acceptedMillis time of the acceptance, in milliseconds
     */
    public void addWorkflow(WorkflowSpec spec, long acceptedMillis, long nowMillis) {
        if (mState.mWorkflows.containsKey(spec.id())) {
            return;
        }
        Workflow workflow = new Workflow(spec, acceptedMillis);
        mState.addWorkflow(workflow);
        if (!spec.hasSchedule()) {
            mState.queueReadySteps(workflow.mOccurrences.open(0), workflow.roots(), nowMillis);
        }
    }

    /** Cancels a workflow. Does nothing if it is unknown or in a terminal state. */
    public void cancelWorkflow(String id, long nowMillis) {
        Workflow workflow = mState.mWorkflows.get(id);
        if (workflow != null) {
            mState.finishWorkflow(
                    workflow, WorkflowState.CANCELLED, "cancelled by the caller", nowMillis);
        }
    }

    /**
     * Restores a workflow of a previous owner from its durable row.
     *
     * @param acceptedMillis time of the acceptance, in milliseconds
     */
    public void restoreWorkflow(
            WorkflowSpec spec, WorkflowRow row, long acceptedMillis, long nowMillis) {
        new WorkflowRestorer(mState, nowMillis).restore(spec, row, acceptedMillis);
    }

    /** Adds a listed worker, or updates its entry. */
    public void updateWorker(WorkerEntry entry, long nowMillis) {
        PoolWorker worker =
                mState.mWorkers.computeIfAbsent(
                        entry.id(), id -> new PoolWorker(entry, mState.mLimits, mState.mUsage));
        if (worker.isNewIncarnation(entry.incarnationMillis())) {
            mLostRuns.handleListedIncarnation(worker, entry.incarnationMillis(), nowMillis);
        }
        worker.update(entry, nowMillis);
        worker.mListed = true;
        worker.mLastEntryKnown = true;
    }

    /** Marks a worker as no longer listed by the platform. */
    public void markUnlisted(String id) {
        PoolWorker worker = mState.mWorkers.get(id);
        if (worker != null) {
            worker.mListed = false;
        }
    }

    /**
     * Handles the departure of an incarnation of a worker, with which all of its runs have ended.
     * Does nothing if the identifier belongs to a later incarnation by now.
     *
     * @param entry last listed entry of the incarnation
     * @param cause how the incarnation has ended
     */
    public void handleWorkerLeft(WorkerEntry entry, RunLossCause cause, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(entry.id());
        if (worker != null && worker.isIncarnationOf(entry)) {
            worker.releaseUnallocated();
            mLostRuns.handleAll(worker, WorkerLoss.ended(cause), nowMillis);
            worker.mListed = false;
        }
    }

    /**
     * Records that the worker list was read, and marks all workers that are not among the given
     * identifiers as no longer listed.
     */
    public void retainListed(Collection<String> ids, long nowMillis) {
        mState.mWorkerList.recordRead(mState.mWorkers.values(), ids, nowMillis);
    }

    /**
     * Position up to which the ended runs of a worker's incarnation were processed.
     *
     * @param incarnationMillis start time of the incarnation, in milliseconds since 1970; 0 if
     *     unknown
     * @param sequence highest processed sequence number
     */
    public record ProcessedEnds(long incarnationMillis, long sequence) {}

    /** Returns the position of the processed ends of each worker, by identifier. */
    public Map<String, ProcessedEnds> processedEnds() {
        Map<String, ProcessedEnds> ends = new HashMap<>();
        mState.mWorkers.forEach((id, worker) -> ends.put(id, processedEndsOf(worker)));
        return ends;
    }

    private static ProcessedEnds processedEndsOf(PoolWorker worker) {
        return new ProcessedEnds(worker.mIncarnationMillis, worker.mProcessedSequence);
    }

    /** Returns the workers to poll for reports: those that are listed or hold runs. */
    public List<WorkerEntry> workersToPoll() {
        List<WorkerEntry> entries = new ArrayList<>();
        for (PoolWorker worker : mState.mWorkers.values()) {
            boolean reachable = !worker.entry().address().isEmpty();
            if (reachable && (worker.mListed || !worker.isIdle())) {
                entries.add(worker.entry());
            }
        }
        return entries;
    }

    /** Returns whether runs on a worker have yet to show that they do not crash it. */
    public boolean hasTrials(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker != null && !worker.tasksOnTrial().isEmpty();
    }

    /** Returns whether a worker has active runs or runs that are about to start. */
    public boolean isBusy(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker != null && !worker.isIdle();
    }

    /**
     * Grants a worker a lease from now. Returns its end on the worker's clock, in milliseconds, or
     * 0 if that clock is unknown.
     */
    public long grantLease(String workerId, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker == null ? 0 : worker.mClock.grantLease(nowMillis);
    }

    /** Returns the position of the processed ends of a worker. */
    public ProcessedEnds processedEnds(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker == null ? new ProcessedEnds(0, 0) : processedEndsOf(worker);
    }

    /**
     * Processes a report of a worker.
     *
     * @param sentMillis time at which the report was requested, in milliseconds
     */
    public void handleReport(String workerId, RunReport report, long sentMillis, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        if (worker != null) {
            mRuns.handleReport(worker, report, sentMillis, nowMillis);
            if (report.incarnationMillis() == worker.mIncarnationMillis) {
                worker.recordListedRuns(report.running(), mState::roomOf);
            }
        }
    }

    /** Excludes a worker that did not answer a poll from new runs until its next report. */
    public void markUnresponsive(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        if (worker != null) {
            worker.excludeUntilReport();
        }
    }

    /**
     * Returns whether a start order is still current. While it waited for its commit, a
     * cancellation, a stop or the end of an earlier run may have superseded it.
     */
    public boolean isStartCurrent(TaskStart order) {
        Task task = mState.findTask(order.task());
        return task != null
                && task.mPhase == Task.Phase.PLACED
                && task.mRun == order.run()
                && task.mWorker != null
                && task.mWorker.mId.equals(order.workerId());
    }

    /**
     * Returns the time since the run of a start order was placed, in milliseconds, or 0 if the
     * order is not current.
     */
    public long placementAgeMillis(TaskStart order, long nowMillis) {
        Task task = isStartCurrent(order) ? mState.findTask(order.task()) : null;
        return task == null ? 0 : nowMillis - task.mPhaseMillis;
    }

    /**
     * Confirms that a start order whose row is durable may be sent. If its ticket has expired
     * meanwhile, the task waits for its next run.
     *
     * @return false if the order must not be sent
     */
    public boolean confirmStart(TaskStart order, long nowMillis) {
        Task task = isStartCurrent(order) ? mState.findTask(order.task()) : null;
        if (task == null) {
            return false;
        }
        mState.recordStartDelay(nowMillis - task.mPhaseMillis);
        if (task.mWorker != null && task.mWorker.isOvercommitted()) {
            mRuns.handleStartOutcome(order, StartOutcome.NO_ROOM, nowMillis);
            return false;
        }
        if (!hasDeliverableTicket(task.mStep, order, nowMillis)) {
            mRuns.handleStartOutcome(order, StartOutcome.NO_TICKET, nowMillis);
            return false;
        }
        task.markStartSent(nowMillis);
        return true;
    }

    /**
     * Returns whether a start order that was never sent may be sent again: it is current, its
     * worker still receives runs, and its ticket is valid.
     */
    public boolean mayResendStart(TaskStart order, long nowMillis) {
        Task task = isStartCurrent(order) ? mState.findTask(order.task()) : null;
        if (task == null || task.mWorker == null) {
            return false;
        }
        return task.mWorker.isSchedulable(nowMillis, PlacementRound.MAX_REPORT_AGE_MILLIS)
                && hasDeliverableTicket(task.mStep, order, nowMillis);
    }

    private static boolean hasDeliverableTicket(Step step, TaskStart order, long nowMillis) {
        return order.ticket().isEmpty()
                || step.mApprovals.hasTicket(order.workerId(), nowMillis + DELIVERY_MILLIS);
    }

    /**
     * Processes the outcome of a start order.
     *
     * @return false if the worker has accepted orders of a newer owner
     */
    public boolean handleStartOutcome(TaskStart order, StartOutcome outcome, long nowMillis) {
        return mRuns.handleStartOutcome(order, outcome, nowMillis);
    }

    /**
     * Records that an attempt to deliver a start was not answered, so that it may have been carried
     * out or may still be.
     */
    public void markStartUnanswered(TaskStart order) {
        Task task = mState.findTask(order.task());
        if (task != null && task.mRun == order.run()) {
            task.markAttemptUnanswered();
        }
    }

    /**
     * Processes the reply to a stop order.
     *
     * @param sentMillis time at which the order was sent, in milliseconds
     */
    public void handleStopReply(
            TaskStop order, boolean acknowledged, long sentMillis, long nowMillis) {
        mRuns.handleStopReply(order, acknowledged, sentMillis, nowMillis);
    }

    /**
     * Processes an answer of the approval service. A busy owner may read it long after the tickets
     * were issued, so their validity is counted from the expected end of the call.
     *
     * @param sentMillis time at which the request was sent, in milliseconds
     */
    public void handleApproval(
            ApprovalRequest request, ApprovalTickets answer, long sentMillis, long nowMillis) {
        long issuedMillis = Math.min(nowMillis, sentMillis + (long) request.expectedMillis());
        findStep(request.step())
                .forEach(
                        step ->
                                step.mApprovals.recordAnswer(
                                        request.workers(), answer, issuedMillis));
    }

    /** Handles an approval request that failed or was not answered. */
    public void handleApprovalFailure(ApprovalRequest request, long nowMillis) {
        findStep(request.step())
                .forEach(
                        step -> {
                            step.mApprovals.markFailed(nowMillis + APPROVAL_RETRY_MILLIS);
                            step.releaseReservations();
                        });
    }

    private Option<Step> findStep(StepKey key) {
        Workflow workflow = mState.mWorkflows.get(key.workflow());
        return workflow == null ? Option.none() : Option.of(PoolState.findStep(workflow, key));
    }

    /**
     * Runs the periodic checks: due occurrences, expired leases, draining workers, unanswered stops
     * and stalled runs.
     *
     * @param epochMillis time of day, in milliseconds since 1970
     */
    public void tick(long nowMillis, long epochMillis) {
        mPeriodicChecks.run(nowMillis, epochMillis);
    }

    /** Places all waiting tasks for which workers have room. */
    public void place(long nowMillis) {
        place(RoundLimits.NONE, nowMillis);
    }

    /** Places waiting tasks for which workers have room, the most urgent first, within limits. */
    public void place(RoundLimits limits, long nowMillis) {
        mAttempts.endExhausted(nowMillis);
        mState.queueDeferred(nowMillis);
        new PlacementRound(mState, limits, nowMillis).run();
    }

    /** Returns the rows to store for the workflows. */
    public WorkflowRows rows() {
        return mRows;
    }

    /** Returns the row to store for a workflow, or none if the workflow is unknown. */
    public Option<WorkflowRow> row(String id) {
        return mRows.row(id);
    }

    /** Returns the workflows that wait for their first start. */
    public QueuedWorkflows queued() {
        return new QueuedWorkflows(mState);
    }

    /** Returns whether a workflow is known and in a terminal state. */
    public boolean isFinal(String id) {
        Workflow workflow = mState.mWorkflows.get(id);
        return workflow != null && workflow.mState.isFinal();
    }

    /**
     * Returns the pairs of kinds of tasks that are believed to slow each other down, those with the
     * largest effect first.
     *
     * @since 0.3
     */
    public List<InterferencePair> believedInterference() {
        return mState.mProgress.believed();
    }

    /** Returns the number of workflows, including those in a terminal state. */
    public int workflowCount() {
        return mState.mWorkflows.size();
    }

    /** Returns the number of steps with unplaced tasks whose predecessors are done. */
    public int waitingStepCount() {
        return mState.mWaitingSteps.size();
    }

    /** Returns the start of the ownership, in milliseconds. */
    public long ownershipStartMillis() {
        return mOwnershipStartMillis;
    }
}
