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
 * Exact count of the slots and connections of a shard's executors. An executor gets nothing before
 * it has said how many of its slots are in use. Safe for use by several threads.
 *
 * @since 0.1
 */
public final class SlotTracker {
    private static final int MAX_DRAINING_SHARE = 4;

    private final ReentrantLock mLock = new ReentrantLock();
    // Both are guarded by mLock.
    private final Map<ExecutorKey, ExecutorSlots> mExecutors = new LinkedHashMap<>();
    private int mTurn;

    /**
     * Brings the ledger in line with the host list.
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
            unlistOthers(listed);
        } finally {
            mLock.unlock();
        }
    }

    private void unlistOthers(Set<ExecutorKey> listed) {
        mExecutors.forEach(
                (key, slots) -> {
                    if (!listed.contains(key)) {
                        slots.unlist();
                    }
                });
        mExecutors.entrySet().removeIf(e -> !listed.contains(e.getKey()) && e.getValue().isIdle());
    }

    /**
     * Takes a slot of the executor with the most free ones.
     *
     * @param service service that the executor must answer for
     * @param trafficClass class of the request
     * @param bulkSharePercent slots of an executor that class BULK may use, in percent
     * @return the hold, or none when there is no free slot
     */
    public Option<SlotHold> acquire(
            String service, TrafficClass trafficClass, int bulkSharePercent) {
        boolean bulk = trafficClass == TrafficClass.BULK;
        mLock.lock();
        try {
            return best(service, bulk, bulkSharePercent).map(slots -> slots.take(bulk));
        } finally {
            mLock.unlock();
        }
    }

    private Option<ExecutorSlots> best(String service, boolean bulk, int bulkSharePercent) {
        List<ExecutorSlots> candidates = executorsOf(service);
        Option<ExecutorSlots> best = Option.none();
        int bestFree = 0;
        // Starting at another place each time spreads requests over executors that are equally
        // free.
        mTurn++;
        for (int i = 0; i < candidates.size(); i++) {
            ExecutorSlots slots = candidates.get(Math.floorMod(mTurn + i, candidates.size()));
            boolean admitted = !bulk || slots.admitsBulk(bulkSharePercent);
            if (admitted && slots.free() > bestFree) {
                bestFree = slots.free();
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
     * Gives a slot back after its request is known to be over.
     *
     * @param succeeded whether the executor gave a complete answer
     */
    public void release(SlotHold hold, boolean succeeded) {
        mLock.lock();
        try {
            if (!hold.end()) {
                return;
            }
            hold.slots().release(hold);
            if (succeeded) {
                hold.slots().succeeded();
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
                hold.slots().becomeUncertain(hold, nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Gives a slot back and sends nothing to its executor until it answers a question. */
    public void releaseUnreachable(SlotHold hold, long nowMillis) {
        mLock.lock();
        try {
            if (hold.end()) {
                hold.slots().release(hold);
                hold.slots().setAside(nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Gives back a slot that the executor says it does not have. */
    public void releaseRefused(SlotHold hold, long nowMillis) {
        mLock.lock();
        try {
            if (hold.end()) {
                hold.slots().release(hold);
                hold.slots().mistrust(nowMillis);
            }
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the executors to be asked now how many slots are in use; each is asked once. */
    public List<ExecutorInfo> beginDueQueries(long nowMillis) {
        List<ExecutorInfo> due = new ArrayList<>();
        mLock.lock();
        try {
            for (ExecutorSlots slots : mExecutors.values()) {
                drainIfNeeded(slots, nowMillis);
                if (slots.startAsking(nowMillis)) {
                    due.add(slots.info());
                }
            }
        } finally {
            mLock.unlock();
        }
        return due;
    }

    private void drainIfNeeded(ExecutorSlots slots, long nowMillis) {
        if (!slots.wantsDrain(nowMillis)) {
            return;
        }
        List<ExecutorSlots> peers = executorsOf(slots.info().service());
        long draining = peers.stream().filter(ExecutorSlots::isDraining).count();
        if (draining < Math.max(1, peers.size() / MAX_DRAINING_SHARE)) {
            slots.drain();
        }
    }

    /**
     * Notes an executor's own count.
     *
     * @param askedMillis when the question was sent
     */
    public void onQueryAnswered(
            ExecutorInfo info, int slotsInUse, long askedMillis, long nowMillis) {
        mLock.lock();
        try {
            find(info).forEach(slots -> slots.answered(slotsInUse, askedMillis, nowMillis));
        } finally {
            mLock.unlock();
        }
    }

    /** Notes that an executor did not answer the question. */
    public void onQueryFailed(ExecutorInfo info, long nowMillis) {
        mLock.lock();
        try {
            find(info).forEach(slots -> slots.silent(nowMillis));
        } finally {
            mLock.unlock();
        }
    }

    private Option<ExecutorSlots> find(ExecutorInfo info) {
        return Option.of(mExecutors.get(new ExecutorKey(info.name(), info.address())));
    }

    /**
     * Returns the load of a service's executors.
     *
     * @param queued requests that wait
     */
    public ServiceLoad load(String service, int queued) {
        mLock.lock();
        try {
            int slots = 0;
            int inUse = 0;
            for (ExecutorSlots executor : executorsOf(service)) {
                if (executor.isUsable()) {
                    slots += executor.info().slots();
                    inUse += Math.min(executor.info().slots(), executor.inUse());
                }
            }
            return new ServiceLoad(service, slots, inUse, queued);
        } finally {
            mLock.unlock();
        }
    }

    /** Returns the services of all listed executors. */
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

    /** An executor that changes its address is another one. */
    private record ExecutorKey(String name, String address) {}
}
