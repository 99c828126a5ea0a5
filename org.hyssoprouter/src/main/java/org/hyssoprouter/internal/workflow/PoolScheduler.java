package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
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
 * Decides, for all pools of one owner, which tasks of workflows run where. It knows no input or
 * output and no clock; it is used by one thread. What it asks for is taken from {@link #output()}
 * after each call.
 *
 * @since 0.2
 */
public final class PoolScheduler {
    private static final long NO_REPORT = -1;

    /** Time after which a failed request for approval is made again. */
    private static final long APPROVAL_RETRY_MILLIS = 100;

    private final PoolState mState;
    private final RunTracker mRuns;
    private final PeriodicChecks mPeriodicChecks;
    private final long mOwnershipStartMillis;

    /**
     * Creates a scheduler without work.
     *
     * @param limits bounds of the platform
     * @param nowMillis when the ownership began
     */
    public PoolScheduler(SchedulerLimits limits, long nowMillis) {
        mState = new PoolState(limits);
        WorkerHealthTracker trust = new WorkerHealthTracker(mState);
        mRuns = new RunTracker(mState, trust);
        mPeriodicChecks = new PeriodicChecks(mState, mRuns, trust, nowMillis);
        mOwnershipStartMillis = nowMillis;
    }

    /** Returns what the calls so far ask for. */
    public SchedulerOutput output() {
        return mState.mOutput;
    }

    /** Takes in a configuration. */
    public void configure(PoolConfig config) {
        mState.configure(config);
    }

    /** Takes in an accepted workflow; one that is known already is left as it is. */
    public void addWorkflow(WorkflowSpec spec, long nowMillis) {
        if (mState.mWorkflows.containsKey(spec.id())) {
            return;
        }
        Workflow workflow = new Workflow(spec, nowMillis);
        mState.mWorkflows.put(spec.id(), workflow);
        if (!spec.hasSchedule()) {
            mState.queueReadySteps(workflow, 0, nowMillis);
        }
    }

    /** Cancels a workflow; one that is unknown or over is left as it is. */
    public void cancelWorkflow(String id, long nowMillis) {
        Workflow workflow = mState.mWorkflows.get(id);
        if (workflow != null) {
            mState.finishWorkflow(
                    workflow, WorkflowState.CANCELLED, "cancelled by its caller", nowMillis);
        }
    }

    /** Takes over a workflow from a former owner. */
    public void restoreWorkflow(WorkflowSpec spec, WorkflowRow row, long nowMillis) {
        Workflow workflow = new Workflow(spec, nowMillis);
        workflow.mState = row.state();
        workflow.mEndedOccurrences.addAll(row.endedOccurrences());
        mState.mWorkflows.put(spec.id(), workflow);
        if (row.state().isFinal()) {
            return;
        }
        for (WorkflowRow.StepRow step : row.steps()) {
            if (step.step() < spec.steps().size()) {
                restoreStep(
                        workflow.openOccurrence(step.occurrence()).get(step.step()),
                        step,
                        nowMillis);
            }
        }
        if (!spec.hasSchedule() && workflow.mEndedOccurrences.isEmpty()) {
            workflow.openOccurrence(0);
        }
        workflow.mOccurrences.keySet().forEach(k -> mState.queueReadySteps(workflow, k, nowMillis));
    }

    private void restoreStep(Step step, WorkflowRow.StepRow row, long nowMillis) {
        step.mGangFailures = row.gangFailures();
        step.mGangCheckpoint = row.checkpoint();
        for (WorkflowRow.TaskRow taskRow : row.tasks()) {
            if (taskRow.index() >= step.mTasks.size()) {
                continue;
            }
            Task task = step.mTasks.get(taskRow.index());
            task.mRun = taskRow.run();
            task.mFailures = taskRow.failures();
            task.mCheckpoint = taskRow.checkpoint();
            if (taskRow.done()) {
                task.setPhase(Task.Phase.DONE, nowMillis);
            } else if (!taskRow.worker().isEmpty()) {
                PoolWorker worker = restoredWorker(taskRow.worker());
                task.mWorker = worker;
                worker.allocate(task, WorkerSelector.requiredRoom(step.mSpec));
                task.setPhase(Task.Phase.INHERITED, nowMillis);
            }
        }
    }

    // A worker that is not listed may still run what a former owner started.
    private PoolWorker restoredWorker(String id) {
        return mState.mWorkers.computeIfAbsent(
                id,
                unused ->
                        new PoolWorker(
                                new WorkerEntry(
                                        id, "", "", "", "", List.of(), Room.NONE, false, 0, 0, 0),
                                mState.mLimits));
    }

    /** Takes in a worker as the platform lists it. */
    public void updateWorker(WorkerEntry entry, long nowMillis) {
        PoolWorker worker =
                mState.mWorkers.computeIfAbsent(
                        entry.id(), id -> new PoolWorker(entry, mState.mLimits));
        if (worker.isNewIncarnation(entry.incarnationMillis())) {
            mRuns.handleNewIncarnation(worker, entry.incarnationMillis(), nowMillis);
        }
        worker.update(entry, nowMillis);
        worker.mListed = true;
    }

    /** Takes note that the platform no longer lists a worker. */
    public void markUnlisted(String id) {
        PoolWorker worker = mState.mWorkers.get(id);
        if (worker != null) {
            worker.mListed = false;
        }
    }

    /**
     * Takes note that a life of a worker has ended for good, and what it ran with it. A later life
     * under the same identifier is left alone.
     *
     * @param entry the life as it was listed last
     */
    public void handleWorkerLeft(WorkerEntry entry, String reason, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(entry.id());
        boolean same =
                worker != null
                        && worker.mIncarnationMillis == entry.incarnationMillis()
                        && worker.entry().address().equals(entry.address());
        if (worker != null && same) {
            worker.mListed = false;
            mRuns.handleLostRuns(worker, reason, nowMillis);
        }
    }

    /** Takes note that the platform lists these workers and no others. */
    public void retainListed(Collection<String> ids) {
        mState.mWorkers.values().forEach(worker -> worker.mListed &= ids.contains(worker.mId));
    }

    /**
     * How far the ends of a worker's life were taken in.
     *
     * @param incarnationMillis start of the life
     * @param sequence highest end
     */
    public record ProcessedEnds(long incarnationMillis, long sequence) {}

    /** Returns how far the ends of each worker were taken in. */
    public Map<String, ProcessedEnds> processedEnds() {
        Map<String, ProcessedEnds> ends = new HashMap<>();
        mState.mWorkers.forEach((id, worker) -> ends.put(id, processedEndsOf(worker)));
        return ends;
    }

    private static ProcessedEnds processedEndsOf(PoolWorker worker) {
        return new ProcessedEnds(worker.mIncarnationMillis, worker.mProcessedSequence);
    }

    /** Returns the workers that reports are wanted from. */
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

    /** Returns whether a worker runs anything or will soon. */
    public boolean isBusy(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker != null && !worker.isIdle();
    }

    /** Returns the end of a lease given now, on the worker's clock; 0 if that is unknown. */
    public long grantLease(String workerId, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker == null ? 0 : worker.mClock.grantLease(nowMillis);
    }

    /** Returns how far the ends of a worker were taken in. */
    public ProcessedEnds processedEnds(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        return worker == null ? new ProcessedEnds(0, 0) : processedEndsOf(worker);
    }

    /**
     * Takes in a worker's report.
     *
     * @param sentMillis when the report was asked for
     */
    public void handleReport(String workerId, RunReport report, long sentMillis, long nowMillis) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        if (worker != null) {
            mRuns.handleReport(worker, report, sentMillis, nowMillis);
        }
    }

    /** Takes note that a worker did not answer. */
    public void markUnresponsive(String workerId) {
        PoolWorker worker = mState.mWorkers.get(workerId);
        if (worker != null) {
            worker.mLastReportMillis = NO_REPORT;
        }
    }

    /**
     * Returns whether an order to start still stands. One that waited for its commit may have been
     * overtaken by a cancellation, a stop or the end of an earlier run.
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
     * Takes in the answer to a start.
     *
     * @return false if another owner has replaced this one
     */
    public boolean handleStartOutcome(TaskStart order, StartOutcome outcome, long nowMillis) {
        return mRuns.handleStartOutcome(order, outcome, nowMillis);
    }

    /** Takes in the answer to a stop. */
    public void handleStopReply(TaskStop order, boolean acknowledged, long nowMillis) {
        mRuns.handleStopReply(order, acknowledged, nowMillis);
    }

    /**
     * Takes in an answer of the approval service. Its tickets may have been issued as soon as the
     * call could take, long before a busy owner reads the answer.
     *
     * @param sentMillis when the request was sent
     */
    public void handleApproval(
            ApprovalRequest request, ApprovalTickets approvals, long sentMillis, long nowMillis) {
        long issuedMillis = Math.min(nowMillis, sentMillis + (long) request.expectedMillis());
        findStep(request.step())
                .forEach(
                        step ->
                                step.mApprovals.recordAnswer(
                                        request.workers(), approvals, issuedMillis));
    }

    /** Takes note that a request for approval got no answer. */
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
        List<Step> steps = workflow == null ? null : workflow.mOccurrences.get(key.occurrence());
        return steps == null ? Option.none() : Option.of(steps.get(key.step()));
    }

    /** Does what time alone asks for: due occurrences, silent workers, stalled runs. */
    public void tick(long nowMillis, long epochMillis) {
        mPeriodicChecks.run(nowMillis, epochMillis);
    }

    /** Places what can be placed. */
    public void place(long nowMillis) {
        new PlacementRound(mState, nowMillis).run();
    }

    /** Returns the durable state of a workflow, if it is known. */
    public Option<WorkflowRow> row(String id) {
        return Option.of(mState.mWorkflows.get(id)).map(WorkflowRow::of);
    }

    /** Returns the number of workflows of each queue that wait for their first start. */
    public Map<String, Integer> pendingCounts() {
        Map<String, Integer> counts = new HashMap<>();
        for (Workflow workflow : mState.mWorkflows.values()) {
            boolean waits =
                    workflow.mState == WorkflowState.PENDING && !workflow.mSpec.hasSchedule();
            counts.merge(workflow.mSpec.queue(), waits ? 1 : 0, Integer::sum);
        }
        return counts;
    }

    /** Returns the number of workflows that are known. */
    public int workflowCount() {
        return mState.mWorkflows.size();
    }

    /** Returns when the ownership began. */
    public long ownershipStartMillis() {
        return mOwnershipStartMillis;
    }
}
