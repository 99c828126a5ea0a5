package org.hyssoprouter.internal.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.ApprovalTickets;

/**
 * Approved workers of a step and their tickets. Whether a worker is approved never changes, but
 * tickets expire and are valid for one incarnation of the worker.
 */
final class StepApprovals {
    private Map<String, Ticket> mTickets = Map.of();
    private Set<String> mQueried = Set.of();
    private Set<String> mApproved = Set.of();
    private boolean mRequestPending;
    private long mRetryMillis;

    /** Latest end of the validity of a ticket; -1 if there was none. */
    private long mLastExpiryMillis = -1;

    /** A ticket and the end of its validity on the owner's clock. */
    private record Ticket(String text, long untilMillis) {}

    /** Returns whether no request was sent so far. */
    boolean isUnused() {
        return !mRequestPending && mQueried.isEmpty();
    }

    boolean isRequestPending() {
        return mRequestPending;
    }

    boolean mayRequest(long nowMillis) {
        return !mRequestPending && nowMillis >= mRetryMillis;
    }

    void markRequested() {
        mRequestPending = true;
    }

    /** Records that a request failed and that the next one may be sent at {@code retryMillis}. */
    void markFailed(long retryMillis) {
        mRequestPending = false;
        mRetryMillis = retryMillis;
    }

    /**
     * Records the answer to a request.
     *
     * @param queried workers in the request
     * @param issuedMillis earliest time at which the tickets may have been issued
     */
    void recordAnswer(Collection<String> queried, ApprovalTickets answer, long issuedMillis) {
        mRequestPending = false;
        if (mQueried.isEmpty()) {
            mTickets = new HashMap<>();
            mQueried = new HashSet<>();
            mApproved = new LinkedHashSet<>();
        }
        mQueried.addAll(queried);
        mApproved.removeAll(queried);
        mApproved.addAll(answer.tickets().keySet());
        long untilMillis = issuedMillis + answer.validMillis();
        if (!answer.tickets().isEmpty()) {
            mLastExpiryMillis = Math.max(mLastExpiryMillis, untilMillis);
        }
        answer.tickets().forEach((id, text) -> mTickets.put(id, new Ticket(text, untilMillis)));
    }

    boolean isQueried(String worker) {
        return mQueried.contains(worker);
    }

    /** Returns the identifiers of the approved workers. */
    Set<String> approvedWorkers() {
        return mApproved;
    }

    /**
     * Returns the approved share of the workers queried so far, or a default before the first
     * answer.
     */
    double approvedShare(double defaultShare) {
        return mQueried.isEmpty()
                ? defaultShare
                : Math.max(1.0, mApproved.size()) / mQueried.size();
    }

    /** Returns whether a worker has a ticket that is valid at least until a time. */
    boolean hasTicket(String worker, long untilMillis) {
        Ticket ticket = mTickets.get(worker);
        return ticket != null && ticket.untilMillis() >= untilMillis;
    }

    /** Returns whether some worker may have a ticket that is valid at least until a time. */
    boolean hasAnyTicket(long untilMillis) {
        return mLastExpiryMillis >= untilMillis;
    }

    /** Returns the ticket of a worker, valid or not, or an empty text. */
    String ticket(String worker) {
        Ticket ticket = mTickets.get(worker);
        return ticket == null ? "" : ticket.text();
    }

    void dropTicket(String worker) {
        if (!mTickets.isEmpty()) {
            mTickets.remove(worker);
        }
    }
}
