package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.jspecify.annotations.Nullable;

/** Workflows, workers and policies, shared by the parts that decide. */
final class PoolState {
    final SchedulerLimits mLimits;
    final Map<String, Workflow> mWorkflows = new LinkedHashMap<>();
    final Map<String, PoolWorker> mWorkers = new LinkedHashMap<>();

    /** Steps whose turn has come and that have a task without a run. */
    final Set<Step> mWaitingSteps = new LinkedHashSet<>();

    final SchedulerOutput mOutput = new SchedulerOutput();
    private final Map<String, QueuePolicy> mPolicies = new HashMap<>();

    PoolState(SchedulerLimits limits) {
        mLimits = limits;
    }

    /** Takes in a configuration; queues that it drops keep their policy for accepted work. */
    void configure(PoolConfig config) {
        config.queues().forEach(queue -> mPolicies.put(queue.name(), queue));
    }

    Option<QueuePolicy> policyOf(Workflow workflow) {
        return Option.of(mPolicies.get(workflow.mSpec.queue()));
    }

    @Nullable Task findTask(TaskKey key) {
        Workflow workflow = mWorkflows.get(key.step().workflow());
        if (workflow == null) {
            return null;
        }
        List<Step> steps = workflow.mOccurrences.get(key.step().occurrence());
        if (steps == null || key.step().step() >= steps.size()) {
            return null;
        }
        List<Task> tasks = steps.get(key.step().step()).mTasks;
        return key.index() < tasks.size() ? tasks.get(key.index()) : null;
    }

    /** Orders the present run of a task to stop; its room stays held until it is gone. */
    void stopRun(Task task, String reason, long nowMillis) {
        PoolWorker worker = task.mWorker;
        if (worker == null || task.mPhase == Task.Phase.DONE) {
            return;
        }
        if (task.mPhase != Task.Phase.STOPPING) {
            task.setPhase(Task.Phase.STOPPING, nowMillis);
            task.mStopAckMillis = 0;
        }
        task.mStopSentMillis = nowMillis;
        sendStop(worker, task.mKey, task.mRun, reason);
    }

    void sendStop(PoolWorker worker, TaskKey task, int run, String reason) {
        String address = worker.entry().address();
        mOutput.addStop(new TaskStop(worker.mId, address, task, run, reason));
    }

    /** Ends a workflow for good and stops what it runs. */
    void finishWorkflow(Workflow workflow, WorkflowState state, String reason, long nowMillis) {
        if (workflow.mState.isFinal()) {
            return;
        }
        workflow.mState = state;
        workflow.mReason = reason;
        for (Step step : workflow.openSteps()) {
            mWaitingSteps.remove(step);
            step.releaseReservations();
            step.mTasks.forEach(task -> stopRun(task, reason, nowMillis));
        }
        mOutput.markChanged(workflow);
        mOutput.recordDecision(workflow.id(), "workflow " + state, reason);
    }

    /** Puts the steps of an occurrence whose turn has come among those to place. */
    void queueReadySteps(Workflow workflow, int occurrence, long nowMillis) {
        if (workflow.mState.isFinal()) {
            return;
        }
        for (Step step : workflow.openOccurrence(occurrence)) {
            if (!step.isDone() && workflow.isReady(step) && mWaitingSteps.add(step)) {
                if (step.mReadyMillis < 0) {
                    step.mReadyMillis = nowMillis;
                }
            }
        }
    }
}
