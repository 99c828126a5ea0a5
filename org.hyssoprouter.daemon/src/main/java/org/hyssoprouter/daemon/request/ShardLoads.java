package org.hyssoprouter.daemon.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;

/** What an entry knows of the load of each shard and service, from the replies it received. */
final class ShardLoads {
    private static final double UNKNOWN_LOAD = 0.5;

    private final ConcurrentHashMap<Key, Known> mKnown = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, AtomicInteger> mOpen = new ConcurrentHashMap<>();

    /** Counts a request that was forwarded to a shard. */
    void sent(String shard) {
        open(shard).incrementAndGet();
    }

    /** Counts its reply. */
    void answered(String shard) {
        open(shard).decrementAndGet();
    }

    /** Keeps a digest unless a newer one is known. */
    void learn(LoadDigest digest) {
        for (ServiceLoad load : digest.services()) {
            Known known = new Known(digest.epoch(), digest.sequence(), load);
            mKnown.merge(
                    new Key(digest.shard(), load.service()),
                    known,
                    (old, fresh) -> fresh.isNewerThan(old) ? fresh : old);
        }
    }

    /** Returns the load for each slot; above 1 when requests wait. */
    double loadOf(String shard, String service) {
        Known known = mKnown.get(new Key(shard, service));
        if (known == null) {
            return UNKNOWN_LOAD;
        }
        ServiceLoad load = known.load();
        int busy = Math.max(load.inUse() + load.queued(), open(shard).get());
        return busy / (double) Math.max(1, load.slots());
    }

    private AtomicInteger open(String shard) {
        return mOpen.computeIfAbsent(shard, name -> new AtomicInteger());
    }

    private record Key(String shard, String service) {}

    private record Known(long epoch, long sequence, ServiceLoad load) {
        boolean isNewerThan(Known other) {
            return epoch != other.epoch ? epoch > other.epoch : sequence >= other.sequence;
        }
    }
}
