package org.hyssoprouter.daemon.workflow;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Remembers for a while the peers that did not answer, so that calls go to others first: a host
 * that is gone stays in the list of members until the owner of the pools removes it. Thread-safe.
 */
final class UnreachablePeers {
    /** Time for which a peer that did not answer is avoided: a restart of its daemon. */
    static final long AVOIDED_MILLIS = 3_000;

    private final MonotonicClock mClock;

    /** Time after which a failure is forgotten: the owner removes those that are gone earlier. */
    private static final long MEMORY_MILLIS = 60_000;

    /** Time of the last call without an answer. */
    private final Map<MemberRow, Long> mFailureMillis = new ConcurrentHashMap<>();

    UnreachablePeers(MonotonicClock clock) {
        mClock = clock;
    }

    /** Records whether a peer has answered a call. */
    void record(MemberRow peer, boolean answered) {
        long nowMillis = mClock.millis();
        if (answered) {
            mFailureMillis.remove(peer);
        } else {
            mFailureMillis.values().removeIf(it -> nowMillis - it >= MEMORY_MILLIS);
            mFailureMillis.put(peer, nowMillis);
        }
    }

    /** Returns whether a peer did not answer lately. */
    boolean contains(MemberRow peer) {
        Long failureMillis = mFailureMillis.get(peer);
        return failureMillis != null && mClock.millis() - failureMillis < AVOIDED_MILLIS;
    }

    /**
     * Returns the peers in the same order, but those that did not answer last, the one whose
     * failure is the oldest first.
     */
    List<MemberRow> failedLast(List<MemberRow> peers) {
        Map<MemberRow, Long> failureMillis = Map.copyOf(mFailureMillis);
        return peers.stream()
                .sorted(
                        Comparator.comparingLong(
                                it -> failureMillis.getOrDefault(it, Long.MIN_VALUE)))
                .toList();
    }
}
