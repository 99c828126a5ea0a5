package org.hyssoprouter.internal.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.ApprovalTickets;

/**
 * Which workers may run a step. The set never changes, but tickets expire and belong to one life of
 * a worker.
 */
final class StepApprovals {
    private final Map<String, Ticket> mTickets = new HashMap<>();
    private final Set<String> mQueried = new HashSet<>();
    private final Set<String> mApproved = new LinkedHashSet<>();
    private boolean mRequestPending;
    private long mRetryMillis;

    /** A ticket and the end of its validity on our clock. */
    private record Ticket(String text, long untilMillis) {}

    boolean isRequestPending() {
        return mRequestPending;
    }

    boolean mayRequest(long nowMillis) {
        return !mRequestPending && nowMillis >= mRetryMillis;
    }

    void markRequested() {
        mRequestPending = true;
    }

    void markFailed(long askAgainMillis) {
        mRequestPending = false;
        mRetryMillis = askAgainMillis;
    }

    /**
     * Takes in the answer on the workers that were named.
     *
     * @param issuedMillis time at which the tickets were issued at the earliest
     */
    void recordAnswer(Collection<String> named, ApprovalTickets answer, long issuedMillis) {
        mRequestPending = false;
        mQueried.addAll(named);
        mApproved.removeAll(named);
        mApproved.addAll(answer.tickets().keySet());
        long untilMillis = issuedMillis + answer.validMillis();
        answer.tickets().forEach((id, text) -> mTickets.put(id, new Ticket(text, untilMillis)));
    }

    boolean isQueried(String worker) {
        return mQueried.contains(worker);
    }

    /** Returns the workers that may run the step. */
    Set<String> approvedWorkers() {
        return mApproved;
    }

    /** Returns the approved share of the workers named so far, or a guess before any answer. */
    double approvedShare(double guess) {
        return mQueried.isEmpty() ? guess : Math.max(1.0, mApproved.size()) / mQueried.size();
    }

    boolean hasTicket(String worker, long untilMillis) {
        Ticket ticket = mTickets.get(worker);
        return ticket != null && ticket.untilMillis() >= untilMillis;
    }

    String ticket(String worker) {
        Ticket ticket = mTickets.get(worker);
        return ticket == null ? "" : ticket.text();
    }

    void dropTicket(String worker) {
        mTickets.remove(worker);
    }
}
