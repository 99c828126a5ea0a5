package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/** Tracks the stops to send, which are resent until the attempt has ended. */
final class PendingStops {
    private static final long RESEND_INTERVAL_MILLIS = 1_000;

    // In the order of their due times, because all are resent after the same interval.
    private final LinkedHashMap<AttemptId, Stop> mSent = new LinkedHashMap<>();
    private final LinkedHashMap<AttemptId, Stop> mUnsent = new LinkedHashMap<>();

    /** Adds a stop that is due at once; a kill replaces another mode, but not the reverse. */
    void add(AttemptId attempt, String worker, StopMode mode) {
        Stop existing = mSent.getOrDefault(attempt, mUnsent.get(attempt));
        if (existing != null && (existing.mMode == mode || existing.mMode == StopMode.KILL)) {
            return;
        }
        mSent.remove(attempt);
        mUnsent.put(attempt, new Stop(worker, mode));
    }

    /** Removes the stop of an attempt, if there is one. */
    void remove(AttemptId attempt) {
        mSent.remove(attempt);
        mUnsent.remove(attempt);
    }

    /** Returns the stops to send now, and schedules each to be sent again until it is removed. */
    List<PlacementAction> takeDue(long nowMillis) {
        List<PlacementAction> due = new ArrayList<>();
        Map<AttemptId, Stop> toSend = new LinkedHashMap<>(mUnsent);
        mUnsent.clear();
        for (Map.Entry<AttemptId, Stop> entry : mSent.entrySet()) {
            if (entry.getValue().mDueMillis > nowMillis) {
                break;
            }
            toSend.put(entry.getKey(), entry.getValue());
        }
        for (Map.Entry<AttemptId, Stop> entry : toSend.entrySet()) {
            Stop stop = entry.getValue();
            stop.mDueMillis = nowMillis + RESEND_INTERVAL_MILLIS;
            mSent.remove(entry.getKey());
            mSent.put(entry.getKey(), stop);
            due.add(new PlacementAction.Stop(entry.getKey(), stop.mWorker, stop.mMode));
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
