package org.hyssoprouter.daemon.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.ownership.SerialExecutor;

/**
 * Removes members that are gone from the list, so that no reader of it calls them. Load: hosts that
 * lose power or are replaced without a planned stop, some hundred a day in a large cell. Only the
 * owner of the pools judges, by its pings: a member is gone if it has answered none of several in a
 * row for longer than a usual cut or freeze lasts. It counts pings, not only time, because an owner
 * that was frozen itself has not listened. A member that registers again was judged wrongly, for
 * instance by an owner that is cut off from it, and gets twice the time. Costs the store one
 * transaction for each member that is gone, and nothing while all live.
 *
 * <p>Used on the owner's thread only.
 */
final class AbsentMemberRemover {
    /** Time without an answer after which a member is gone, longer than a usual cut or freeze. */
    static final long ABSENT_MILLIS = 10_000;

    /** Minimum number of unanswered pings in that time. */
    static final int MIN_UNANSWERED_PINGS = 6;

    private static final int MAX_DOUBLINGS = 4;
    private static final int MAX_REMEMBERED_REMOVALS = 1_000;

    /** Maximum number of transactions at a time. */
    private static final int MAX_OPEN_REMOVALS = 16;

    private final MemberRegistry mMembers;
    private final SerialExecutor mThread;
    private final Map<MemberRow, Absence> mAbsences = new HashMap<>();
    private final Map<MemberRow, Integer> mRemovals = new HashMap<>();
    private final Set<MemberRow> mOpenRemovals = new HashSet<>();

    /** Unanswered pings in a row. */
    private record Absence(long sinceMillis, int pings) {}

    AbsentMemberRemover(MemberRegistry members, SerialExecutor thread) {
        mMembers = members;
        mThread = thread;
    }

    /**
     * Records the result of a ping.
     *
     * @param sentMillis time at which the ping was sent, in milliseconds
     */
    void recordPing(MemberRow member, boolean answered, long sentMillis) {
        if (answered) {
            mAbsences.remove(member);
            mRemovals.remove(member);
        } else {
            mAbsences.merge(
                    member,
                    new Absence(sentMillis, 1),
                    (former, one) -> new Absence(former.sinceMillis(), former.pings() + 1));
        }
    }

    /** Removes the members that are gone. */
    void removeAbsent(long nowMillis) {
        List<MemberRow> members = mMembers.all();
        mAbsences.keySet().retainAll(members);
        mMembers.replaced().forEach(it -> remove(it, "another member has its address"));
        for (MemberRow member : members) {
            Absence absence = mAbsences.get(member);
            if (absence != null && isGone(member, absence, nowMillis)) {
                long silentMillis = nowMillis - absence.sinceMillis();
                remove(member, "no answer for " + silentMillis + " ms");
            }
        }
    }

    private boolean isGone(MemberRow member, Absence absence, long nowMillis) {
        int doublings = Math.min(MAX_DOUBLINGS, mRemovals.getOrDefault(member, 0));
        return absence.pings() >= MIN_UNANSWERED_PINGS
                && nowMillis - absence.sinceMillis() >= ABSENT_MILLIS << doublings;
    }

    private void remove(MemberRow member, String reason) {
        if (mOpenRemovals.size() >= MAX_OPEN_REMOVALS || !mOpenRemovals.add(member)) {
            return;
        }
        CompletableFuture<Void> unused =
                mMembers.remove(member, reason)
                        .thenAccept(
                                removed -> mThread.execute(() -> handleResult(member, removed)));
    }

    private void handleResult(MemberRow member, boolean removed) {
        mOpenRemovals.remove(member);
        // After a failure the pings count anew.
        mAbsences.remove(member);
        if (removed) {
            if (mRemovals.size() >= MAX_REMEMBERED_REMOVALS) {
                mRemovals.clear();
            }
            mRemovals.merge(member, 1, Integer::sum);
        }
    }
}
