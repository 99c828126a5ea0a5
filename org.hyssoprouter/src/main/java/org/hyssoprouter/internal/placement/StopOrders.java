package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/** Attempts that are to be stopped, until each is known to have ended. */
final class StopOrders {
    private static final long REPEAT_MILLIS = 1_000;

    private final Map<AttemptId, Order> mOrders = new LinkedHashMap<>();

    /** Adds a stop, due at once; a kill takes the place of a milder one. */
    void add(AttemptId attempt, String worker, StopMode mode) {
        Order before = mOrders.get(attempt);
        if (before != null && (before.mMode == mode || before.mMode == StopMode.KILL)) {
            return;
        }
        mOrders.put(attempt, new Order(worker, mode));
    }

    void remove(AttemptId attempt) {
        mOrders.remove(attempt);
    }

    /** Returns the stops to send now; each comes again after a time until it is removed. */
    List<PlacementAction> due(long nowMillis) {
        List<PlacementAction> due = new ArrayList<>();
        for (Map.Entry<AttemptId, Order> entry : mOrders.entrySet()) {
            Order order = entry.getValue();
            if (order.mDueMillis <= nowMillis) {
                order.mDueMillis = nowMillis + REPEAT_MILLIS;
                due.add(new PlacementAction.Stop(entry.getKey(), order.mWorker, order.mMode));
            }
        }
        return due;
    }

    private static final class Order {
        private final String mWorker;
        private final StopMode mMode;
        private long mDueMillis = Long.MIN_VALUE;

        Order(String worker, StopMode mode) {
            mWorker = worker;
            mMode = mode;
        }
    }
}
