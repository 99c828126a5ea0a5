package org.hyssoprouter.internal.workflow;

import java.util.HashSet;
import java.util.Set;

/** Store of a simulated pool: its list of workers, and whether it answers. */
final class SimulatedStore {
    private final Set<String> mListedIds = new HashSet<>();
    private boolean mAway;

    /**
     * Sets whether the store is away: nothing is committed, the list is not read, and the owner
     * renews no leases.
     */
    void setAway(boolean away) {
        mAway = away;
    }

    boolean isAway() {
        return mAway;
    }

    /** Lists a worker, and passes its entry to the owner. */
    void list(PoolScheduler scheduler, SimulatedWorker worker, long nowMillis) {
        mListedIds.add(worker.mId);
        scheduler.updateWorker(worker.entry(nowMillis), nowMillis);
    }

    void unlist(PoolScheduler scheduler, String id) {
        mListedIds.remove(id);
        scheduler.markUnlisted(id);
    }

    boolean isListed(String id) {
        return mListedIds.contains(id);
    }

    /** Lets the owner read the list, unless the store is away. */
    void readList(PoolScheduler scheduler, long nowMillis) {
        if (!mAway) {
            scheduler.retainListed(mListedIds, nowMillis);
        }
    }
}
