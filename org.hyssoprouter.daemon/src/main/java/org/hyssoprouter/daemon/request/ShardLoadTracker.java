package org.hyssoprouter.daemon.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;

/** What an entry knows of the load of each shard and service, from the replies it received. */
final class ShardLoadTracker {
    private static final double DEFAULT_LOAD = 0.5;

    private final ConcurrentHashMap<Key, ReportedLoad> mReportedLoads = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, AtomicInteger> mOpenRequests =
            new ConcurrentHashMap<>();

    /** Counts a request that was forwarded to a shard. */
    void recordSent(String shard) {
        openRequests(shard).incrementAndGet();
    }

    /** Counts its reply. */
    void recordReply(String shard) {
        openRequests(shard).decrementAndGet();
    }

    /** Keeps a digest unless a newer one is known. */
    void update(LoadDigest digest) {
        for (ServiceLoad load : digest.services()) {
            ReportedLoad known = new ReportedLoad(digest.epoch(), digest.sequence(), load);
            mReportedLoads.merge(
                    new Key(digest.shard(), load.service()),
                    known,
                    (old, fresh) -> fresh.isNewerThan(old) ? fresh : old);
        }
    }

    /** Returns the load for each slot; above 1 when requests wait. */
    double loadOf(String shard, String service) {
        ReportedLoad known = mReportedLoads.get(new Key(shard, service));
        if (known == null) {
            return DEFAULT_LOAD;
        }
        ServiceLoad load = known.load();
        int busy = Math.max(load.inUse() + load.queued(), openRequests(shard).get());
        return busy / (double) Math.max(1, load.slots());
    }

    private AtomicInteger openRequests(String shard) {
        return mOpenRequests.computeIfAbsent(shard, name -> new AtomicInteger());
    }

    private record Key(String shard, String service) {}

    private record ReportedLoad(long epoch, long sequence, ServiceLoad load) {
        boolean isNewerThan(ReportedLoad other) {
            return epoch != other.epoch ? epoch > other.epoch : sequence >= other.sequence;
        }
    }
}
