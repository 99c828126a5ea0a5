package org.hyssoprouter.internal.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.workflow.Approvals;

/**
 * Which workers may run a step. The set never changes, but tickets expire and belong to one life of
 * a worker.
 */
final class StepApprovals {
    private final Map<String, Ticket> mTickets = new HashMap<>();
    private final Set<String> mNamed = new HashSet<>();
    private final Set<String> mApproved = new LinkedHashSet<>();
    private boolean mAsking;
    private long mAskAgainMillis;

    /** A ticket and the end of its validity on our clock. */
    private record Ticket(String text, long untilMillis) {}

    boolean isAsking() {
        return mAsking;
    }

    boolean mayAsk(long nowMillis) {
        return !mAsking && nowMillis >= mAskAgainMillis;
    }

    void asked() {
        mAsking = true;
    }

    void failed(long askAgainMillis) {
        mAsking = false;
        mAskAgainMillis = askAgainMillis;
    }

    /**
     * Takes in the answer on the workers that were named.
     *
     * @param issuedMillis time at which the tickets were issued at the earliest
     */
    void answered(Collection<String> named, Approvals answer, long issuedMillis) {
        mAsking = false;
        mNamed.addAll(named);
        mApproved.removeAll(named);
        mApproved.addAll(answer.tickets().keySet());
        long untilMillis = issuedMillis + answer.validMillis();
        answer.tickets().forEach((id, text) -> mTickets.put(id, new Ticket(text, untilMillis)));
    }

    boolean isNamed(String worker) {
        return mNamed.contains(worker);
    }

    /** Returns the workers that may run the step. */
    Set<String> approved() {
        return mApproved;
    }

    /** Returns the approved share of the workers named so far, or a guess before any answer. */
    double share(double guess) {
        return mNamed.isEmpty() ? guess : Math.max(1.0, mApproved.size()) / mNamed.size();
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
