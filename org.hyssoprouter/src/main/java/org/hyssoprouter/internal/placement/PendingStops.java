package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/** Attempts that are to be stopped, until each is known to have ended. */
final class PendingStops {
    private static final long RESEND_INTERVAL_MILLIS = 1_000;

    // Sent orders in the order in which they are due, because each repeats after the same time.
    private final LinkedHashMap<AttemptId, Stop> mSent = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Stop> mUnsent = new LinkedHashMap<>();

    /** Adds a stop, due at once; a kill takes the place of a milder one. */
    void add(AttemptId attempt, String worker, StopMode mode) {
        Stop before = mSent.getOrDefault(attempt, mUnsent.get(attempt));
        if (before != null && (before.mMode == mode || before.mMode == StopMode.KILL)) {
            return;
        }
        mSent.remove(attempt);
        mUnsent.put(attempt, new Stop(worker, mode));
    }

    void remove(AttemptId attempt) {
        mSent.remove(attempt);
        mUnsent.remove(attempt);
    }

    /** Returns the stops to send now; each comes again after a time until it is removed. */
    List<PlacementAction> takeDue(long nowMillis) {
        List<PlacementAction> due = new ArrayList<>();
        Map<AttemptId, Stop> sending = new LinkedHashMap<>(mUnsent);
        mUnsent.clear();
        for (Map.Entry<AttemptId, Stop> entry : mSent.entrySet()) {
            if (entry.getValue().mDueMillis > nowMillis) {
                break;
            }
            sending.put(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<AttemptId, Stop> entry : sending.entrySet()) {
            Stop order = entry.getValue();
            order.mDueMillis = nowMillis + RESEND_INTERVAL_MILLIS;
            mSent.remove(entry.getKey());
            mSent.put(entry.getKey(), order);
            due.add(new PlacementAction.Stop(entry.getKey(), order.mWorker, order.mMode));
        }
        return due;
    }

    private static final class Stop {
        private final String mWorker;
        private final StopMode mMode;
        private long mDueMillis;

        Stop(String worker, StopMode mode) {
            mWorker = worker;
            mMode = mode;
        }
    }
}
