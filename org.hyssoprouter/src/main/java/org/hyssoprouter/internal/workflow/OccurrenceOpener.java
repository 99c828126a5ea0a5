package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.WorkflowSpec;

/**
 * Opens due occurrences of a schedule while few others wait for the same steps. What is behind the
 * schedule then costs a number, not steps and tasks, however late it is and whatever may run.
 */
final class OccurrenceOpener {
    private final PoolState mState;
    private final Workflow mWorkflow;
    private final long mNowMillis;

    OccurrenceOpener(PoolState state, Workflow workflow, long nowMillis) {
        mState = state;
        mWorkflow = workflow;
        mNowMillis = nowMillis;
    }

    /** Opens occurrences: first suspended ones, then others in order. */
    void open() {
        Occurrences occurrences = mWorkflow.mOccurrences;
        for (Occurrences.Suspended group : occurrences.suspended()) {
            while (!group.numbers().isEmpty() && mState.mayQueueAny(mWorkflow, group.ready())) {
                Occurrence occurrence = occurrences.resume(group);
                mState.queueReadySteps(occurrence, group.ready(), mNowMillis);
            }
        }
        int[] roots = mWorkflow.roots();
        while (mState.mayQueueAny(mWorkflow, roots)) {
            Occurrence occurrence = occurrences.openNextDue();
            if (occurrence == null) {
                return;
            }
            mState.queueReadySteps(occurrence, roots, mNowMillis);
        }
    }

    /**
     * Returns the number of occurrences of a schedule whose time has come.
     *
     * @param epochMillis time of day, in milliseconds since 1970
     */
    static long dueCount(WorkflowSpec.Schedule schedule, long epochMillis) {
        long firstMillis = schedule.firstDueMillis();
        long lateMillis = epochMillis - firstMillis;
        if (firstMillis > epochMillis) {
            return 0;
        }
        // The difference of times that are far apart is negative.
        if (schedule.intervalMillis() <= 0 || lateMillis < 0) {
            return schedule.repeatCount();
        }
        return Math.min(schedule.repeatCount(), lateMillis / schedule.intervalMillis() + 1);
    }
}
