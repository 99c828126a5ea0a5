package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/** Attempts that are to be stopped, until each is known to have ended. */
final class PendingStops {
    private static final long REPEAT_MILLIS = 1_000;

    // Sent orders in the order in which they are due, because each repeats after the same time.
    private final LinkedHashMap<AttemptId, Order> mSent = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Order> mFresh = new LinkedHashMap<>();

    /** Adds a stop, due at once; a kill takes the place of a milder one. */
    void add(AttemptId attempt, String worker, StopMode mode) {
        Order before = mSent.getOrDefault(attempt, mFresh.get(attempt));
        if (before != null && (before.mMode == mode || before.mMode == StopMode.KILL)) {
            return;
        }
        mSent.remove(attempt);
        mFresh.put(attempt, new Order(worker, mode));
    }

    void remove(AttemptId attempt) {
        mSent.remove(attempt);
        mFresh.remove(attempt);
    }

    /** Returns the stops to send now; each comes again after a time until it is removed. */
    List<PlacementAction> takeDue(long nowMillis) {
        List<PlacementAction> due = new ArrayList<>();
        Map<AttemptId, Order> sending = new LinkedHashMap<>(mFresh);
        mFresh.clear();
        for (Map.Entry<AttemptId, Order> entry : mSent.entrySet()) {
            if (entry.getValue().mDueMillis > nowMillis) {
                break;
            }
            sending.put(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<AttemptId, Order> entry : sending.entrySet()) {
            Order order = entry.getValue();
            order.mDueMillis = nowMillis + REPEAT_MILLIS;
            mSent.remove(entry.getKey());
            mSent.put(entry.getKey(), order);
            due.add(new PlacementAction.Stop(entry.getKey(), order.mWorker, order.mMode));
        }
        return due;
    }

    private static final class Order {
        private final String mWorker;
        private final StopMode mMode;
        private long mDueMillis;

        Order(String worker, StopMode mode) {
            mWorker = worker;
            mMode = mode;
        }
    }
}
