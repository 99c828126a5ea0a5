package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.internal.workflow.RoundLimits;

/**
 * Bounds each placement round by what the commits, the start orders and the approval calls that are
 * under way leave for it.
 */
final class RoundLimiter {
    /**
     * Maximum number of runs that are placed while the outcome of their start is unknown. More
     * start orders at a time would time out before this host has sent them.
     */
    static final int MAX_UNANSWERED_STARTS = 256;

    /**
     * Time before the expected end of a commit from which runs are placed: an approval call and a
     * round. Runs that are placed earlier wait for the commit with tickets that expire.
     */
    static final long PLACEMENT_LEAD_MILLIS = 200;

    /** Number of these that are reserved for the workflows with the fewest runs. */
    private static final int RESERVED_STARTS = 64;

    /** Number of workflows with starts in a commit that are reserved for them. */
    private static final int RESERVED_WORKFLOWS = 10;

    private final OwnerCommitter mCommitter;
    private final RunDispatcher mRunDispatcher;
    private final ApprovalDispatcher mApprovalDispatcher;

    RoundLimiter(
            OwnerCommitter committer,
            RunDispatcher runDispatcher,
            ApprovalDispatcher approvalDispatcher) {
        mCommitter = committer;
        mRunDispatcher = runDispatcher;
        mApprovalDispatcher = approvalDispatcher;
    }

    /** Returns the limits of the next round. */
    RoundLimits next() {
        if (mCommitter.expectedCommitMillis() > PLACEMENT_LEAD_MILLIS) {
            return new RoundLimits(0, 0, 0, 0);
        }
        int unanswered = mCommitter.uncommittedStartCount() + mRunDispatcher.unansweredStartCount();
        ApprovalDispatcher.RemainingCalls calls = mApprovalDispatcher.remainingCalls();
        return new RoundLimits(
                mCommitter.remainingStartingWorkflows(),
                Math.max(0, MAX_UNANSWERED_STARTS - unanswered),
                calls.shortCalls(),
                calls.longCalls(),
                new RoundLimits.Reserved(RESERVED_WORKFLOWS, RESERVED_STARTS));
    }
}
