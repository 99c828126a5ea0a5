package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;

/**
 * Tracks the slots and connections in use at each executor of a shard, so that no executor gets
 * more requests than it has slots. An executor gets no request before it has reported how many of
 * its slots are in use. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlotTracker {
    // At most one in 4 executors of a service is drained at the same time, but always at least one.
    private static final int EXECUTORS_PER_DRAIN = 4;

    private final ReentrantLock mLock = new ReentrantLock();
    // Both are guarded by mLock.
    private final Map<ExecutorKey, ExecutorSlots> mExecutors = new LinkedHashMap<>();
    private int mRotation;

    /**
     * Adds and updates the executors of the host list. Executors that are no longer listed get no
     * new requests and are removed once none of their slots is held.
     *
     * @param hosts all hosts of the shard
     */
    public void updateHosts(Collection<HostInfo> hosts) {
        mLock.lock();
        try {
            Set<ExecutorKey> listed = new HashSet<>();
            for (HostInfo host : hosts) {
                boolean leaving = host.state() == HostState.LEAVING;
                for (ExecutorInfo info : host.executors()) {
                    ExecutorKey key = new ExecutorKey(info.name(), info.address());
                    listed.add(key);
                    mExecutors
                            .computeIfAbsent(key, unused -> new ExecutorSlots(info))
                            .update(info, leaving);
                }
            }
            removeUnlisted(listed);
        } finally {
            mLock.unlock();
        }
    }

    private void removeUnlisted(Set<ExecutorKey> listed) {
        mExecutors.forEach(
                (key, slots) -> {
                    if (!listed.contains(key)) {
                        slots.markUnlisted();
                    }
                });
        mExecutors.entrySet().removeIf(e -> !listed.contains(e.getKey()) && e.getValue().isIdle());
    }

    /**
     * Reserves a slot of the executor with the most free slots.
     *
     * @param service service that the executor must provide
     * @param trafficClass class of the request
     * @param bulkSharePercent share of the slots of an executor that class BULK may use, in percent
     * @return the reserved slot, or none if there is no free one
     */
    public Option<SlotHold> acquire(
            String service, TrafficClass trafficClass, int bulkSharePercent) {
        boolean bulk = trafficClass == TrafficClass.BULK;
        mLock.lock();
        try {
            return chooseExecutor(service, bulk, bulkSharePercent)
                    .map(slots -> slots.acquire(bulk));
        } finally {
            mLock.unlock();
        }
    }

    private Option<ExecutorSlots> chooseExecutor(
            String service, boolean bulk, int bulkSharePercent) {
        List<ExecutorSlots> candidates = executorsOf(service);
        Option<ExecutorSlots> best = Option.none();
        int bestFree = 0;
        // Starting at a different index each time distributes requests over executors with the same
        // number of free slots.
        mRotation++;
        for (int i = 0; i < candidates.size(); i++) {
            ExecutorSlots slots = candidates.get(Math.floorMod(mRotation + i, candidates.size()));
            boolean admitted = !bulk || slots.admitsBulk(bulkSharePercent);
            if (admitted && slots.freeSlots() > bestFree) {
                bestFree = slots.freeSlots();
                best = Option.some(slots);
            }
        }
        return best;
    }

    private List<ExecutorSlots> executorsOf(String service) {
        List<ExecutorSlots> found = new ArrayList<>();
        for (ExecutorSlots slots : mExecutors.values()) {
            if (slots.info().service().equals(service)) {
                found.add(slots);
            }
        }
        return found;
    }

    /**
     * Releases a slot whose request is known to have ended or not to have been sent.
     *
     * @param succeeded whether the executor sent a complete response
     */
    public void release(SlotHold hold, boolean succeeded) {
        mLock.lock();
        try {
            if (!hold.end()) {
                return;
            }
            hold.slots().release(hold);
            if (succeeded) {
                hold.slots().recordSuccess();
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Keeps a slot in use because the outcome of its request is unknown. */
    public void markOutcomeUnknown(SlotHold hold, long nowMillis) {
        mLock.lock();
        try {
            if (hold.end()) {
                hold.slots().markUncertain(hold, nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Releases a slot after its executor could not be reached. The executor gets no request until
     * it answers a query.
     */
    public void releaseUnreachable(SlotHold hold, long nowMillis) {
        mLock.lock();
        try {
            if (hold.end()) {
                hold.slots().release(hold);
                hold.slots().suspend(nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Releases a slot that the executor refused because all of its slots are in use. The executor
     * gets no request until it has reported its slots in use again.
     */
    public void releaseRefused(SlotHold hold, long nowMillis) {
        mLock.lock();
        try {
            if (hold.end()) {
                hold.slots().release(hold);
                hold.slots().invalidateCount(nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Returns the executors that have to be queried now for their slots in use. Each query is
     * pending until {@link #onQueryAnswered} or {@link #onQueryFailed} is called.
     */
    public List<ExecutorInfo> beginDueQueries(long nowMillis) {
        List<ExecutorInfo> due = new ArrayList<>();
        mLock.lock();
        try {
            for (ExecutorSlots slots : mExecutors.values()) {
                drainIfNeeded(slots, nowMillis);
                if (slots.beginQueryIfDue(nowMillis)) {
                    due.add(slots.info());
                }
            }
        } finally {
            mLock.unlock();
        }
        return due;
    }

    private void drainIfNeeded(ExecutorSlots slots, long nowMillis) {
        if (!slots.needsDrain(nowMillis)) {
            return;
        }
        List<ExecutorSlots> executors = executorsOf(slots.info().service());
        long draining = executors.stream().filter(ExecutorSlots::isDraining).count();
        if (draining < Math.max(1, executors.size() / EXECUTORS_PER_DRAIN)) {
            slots.beginDrain();
        }
    }

    /**
     * Records the number of slots in use that an executor reported.
     *
     * @param sentMillis monotonic time at which the query was sent
     */
    public void onQueryAnswered(
            ExecutorInfo info, int slotsInUse, long sentMillis, long nowMillis) {
        mLock.lock();
        try {
            find(info).forEach(slots -> slots.onQueryAnswered(slotsInUse, sentMillis, nowMillis));
        } finally {
            mLock.unlock();
        }
    }

    /** Records that an executor did not answer a query. It gets no request until it answers one. */
    public void onQueryFailed(ExecutorInfo info, long nowMillis) {
        mLock.lock();
        try {
            find(info).forEach(slots -> slots.onQueryFailed(nowMillis));
        } finally {
            mLock.unlock();
        }
    }

    private Option<ExecutorSlots> find(ExecutorInfo info) {
        return Option.of(mExecutors.get(new ExecutorKey(info.name(), info.address())));
    }

    /**
     * Returns the load of the usable executors of a service.
     *
     * @param queued number of queued requests to report in the load
     */
    public ServiceLoad load(String service, int queued) {
        mLock.lock();
        try {
            int slots = 0;
            int inUse = 0;
            for (ExecutorSlots executor : executorsOf(service)) {
                if (executor.isUsable()) {
                    slots += executor.info().slots();
                    inUse += Math.min(executor.info().slots(), executor.slotsInUse());
                }
            }
            return new ServiceLoad(service, slots, inUse, queued);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the services of all tracked executors. */
    public Set<String> services() {
        mLock.lock();
        try {
            Set<String> services = new HashSet<>();
            mExecutors.values().forEach(slots -> services.add(slots.info().service()));
            return services;
        } finally {
            mLock.unlock();
        }
    }

    /** Identifies an executor. After a change of its address it is a different executor. */
    private record ExecutorKey(String name, String address) {}
}
