package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;

/**
 * Collects the orders, approval requests, changed workflows and decisions that {@link
 * PoolScheduler} produces. Start orders may be sent only after the rows of the changed workflows
 * are durable; stop orders and approval requests may be sent immediately.
 *
 * @since 0.2
 */
public final class SchedulerOutput {
    private OverloadCounts mOverload = new OverloadCounts();
    private final List<TaskStart> mStarts = new ArrayList<>();
    private final List<TaskStop> mStops = new ArrayList<>();
    private final List<ApprovalRequest> mApprovalRequests = new ArrayList<>();
    private final List<Decision> mDecisions = new ArrayList<>();
    private final List<GivenUp> mGivenUp = new ArrayList<>();
    private final List<InterferencePair> mBelieved = new ArrayList<>();
    private final List<InterferencePair> mForgotten = new ArrayList<>();
    private final Map<RunLossCause, Integer> mLostRuns = new EnumMap<>(RunLossCause.class);
    private final Map<FailureCause, Integer> mFailures = new EnumMap<>(FailureCause.class);
    private final Set<String> mChangedWorkflows = new LinkedHashSet<>();

    /**
     * Scheduling decision, for the log and the metrics.
     *
     * @param subject workflow, task or worker that the decision concerns
     * @param action decision that was made
     * @param inputs values that the decision is based on
     */
    public record Decision(String subject, String action, String inputs) {}

    /**
     * Workflow that has failed because its tasks crash workers.
     *
     * @param workflow identifier of the workflow
     * @param queue name of its queue
     * @param reason task, number of crashes and last worker
     */
    public record GivenUp(String workflow, String queue, String reason) {}

    void addStart(TaskStart order) {
        mStarts.add(order);
    }

    void addStop(TaskStop order) {
        mStops.add(order);
    }

    void addApprovalRequest(ApprovalRequest request) {
        mApprovalRequests.add(request);
    }

    void markChanged(Workflow workflow) {
        mChangedWorkflows.add(workflow.id());
    }

    void recordDecision(Object subject, String action, String inputs) {
        mDecisions.add(new Decision(subject.toString(), action, inputs));
    }

    /** Counts a preemption and the core time that the stop and the restart take. */
    void recordPreemption(Step step, long lostCoreMillis) {
        mOverload.addPreemption(step.mSpec.gang(), lostCoreMillis);
    }

    /** Counts a step for which no task is stopped; each step counts once for a cause. */
    void recordForgonePreemption(Step step, OverloadCounts.Cause cause) {
        if (step.mForgonePreemption != cause) {
            step.mForgonePreemption = cause;
            mOverload.add(cause);
        }
    }

    /** Returns the counts of preemptions by cause since the last call, and resets them. */
    public OverloadCounts takeOverloadCounts() {
        OverloadCounts taken = mOverload;
        mOverload = new OverloadCounts();
        return taken;
    }

    void addGivenUp(Workflow workflow, String reason) {
        mGivenUp.add(new GivenUp(workflow.id(), workflow.mSpec.queue(), reason));
        addFailure(FailureCause.CRASHES);
    }

    /** Counts runs that were lost with their worker. */
    void addLostRuns(RunLossCause cause, int count) {
        if (count > 0) {
            mLostRuns.merge(cause, count, Integer::sum);
        }
    }

    /** Counts a workflow that has failed. */
    void addFailure(FailureCause cause) {
        mFailures.merge(cause, 1, Integer::sum);
    }

    void addBelieved(InterferencePair pair) {
        mBelieved.add(pair);
    }

    void addForgotten(InterferencePair pair) {
        mForgotten.add(pair);
    }

    /** Removes and returns the pairs of kinds that are newly believed to slow each other down. */
    public List<InterferencePair> takeBelieved() {
        return take(mBelieved);
    }

    /** Removes and returns the pairs of kinds that are no longer believed to do so. */
    public List<InterferencePair> takeForgotten() {
        return take(mForgotten);
    }

    /** Removes and returns the workflows that have failed because their tasks crash workers. */
    public List<GivenUp> takeGivenUp() {
        return take(mGivenUp);
    }

    /** Removes and returns the numbers of lost runs by cause; without those that are 0. */
    public Map<RunLossCause, Integer> takeLostRuns() {
        return take(mLostRuns, new EnumMap<>(RunLossCause.class));
    }

    /** Removes and returns the numbers of failed workflows by cause; without those that are 0. */
    public Map<FailureCause, Integer> takeFailures() {
        return take(mFailures, new EnumMap<>(FailureCause.class));
    }

    /** Removes and returns the start orders. */
    public List<TaskStart> takeStarts() {
        return take(mStarts);
    }

    /** Removes and returns the stop orders. */
    public List<TaskStop> takeStops() {
        return take(mStops);
    }

    /** Removes and returns the approval requests. */
    public List<ApprovalRequest> takeApprovalRequests() {
        return take(mApprovalRequests);
    }

    /** Removes and returns the decisions. */
    public List<Decision> takeDecisions() {
        return take(mDecisions);
    }

    /** Removes and returns the identifiers of the workflows whose rows must be written. */
    public List<String> takeChangedWorkflows() {
        List<String> taken = new ArrayList<>(mChangedWorkflows);
        mChangedWorkflows.clear();
        return taken;
    }

    private static <T> List<T> take(List<T> list) {
        List<T> taken = new ArrayList<>(list);
        list.clear();
        return taken;
    }

    private static <K> Map<K, Integer> take(Map<K, Integer> counts, Map<K, Integer> taken) {
        taken.putAll(counts);
        counts.clear();
        return taken;
    }
}
