package org.hyssoprouter.daemon.request;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;

/**
 * Tracks the load of each shard and service, from the digests in replies of shard owners and the
 * requests that this daemon has forwarded.
 */
final class ShardLoadTracker {
    private static final double DEFAULT_LOAD = 0.5;

    private final ConcurrentHashMap<Key, ReportedLoad> mReportedLoads = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, AtomicInteger> mOpenRequests =
            new ConcurrentHashMap<>();

    /** Records that a request was forwarded to a shard. */
    void recordSent(String shard) {
        openRequests(shard).incrementAndGet();
    }

    /** Records that a forwarded request was answered. */
    void recordReply(String shard) {
        openRequests(shard).decrementAndGet();
    }

    /** Stores the loads of a digest, except those for which a newer digest is stored. */
    void update(LoadDigest digest) {
        for (ServiceLoad load : digest.services()) {
            ReportedLoad reported = new ReportedLoad(digest.epoch(), digest.sequence(), load);
            mReportedLoads.merge(
                    new Key(digest.shard(), load.service()),
                    reported,
                    (current, update) -> update.isNewerThan(current) ? update : current);
        }
    }

    /** Returns the number of open requests per slot; above 1 if requests are queued. */
    double loadOf(String shard, String service) {
        ReportedLoad reported = mReportedLoads.get(new Key(shard, service));
        if (reported == null) {
            return DEFAULT_LOAD;
        }
        ServiceLoad load = reported.load();
        int requests = Math.max(load.inUse() + load.queued(), openRequests(shard).get());
        return requests / (double) Math.max(1, load.slots());
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
