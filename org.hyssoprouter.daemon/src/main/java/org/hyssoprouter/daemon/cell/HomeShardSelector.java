package org.hyssoprouter.daemon.cell;

import java.util.Comparator;
import java.util.List;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.HostDirectory;

/** Ranks the shards of a region as home of a new job by the free room for its tasks. */
final class HomeShardSelector {
    private final ShardDirectory mDirectory;
    private final HostDirectory mHosts;
    private final LoadDigestCache mLoadCache;

    HomeShardSelector(ShardDirectory directory, HostDirectory hosts, LoadDigestCache loadCache) {
        mDirectory = directory;
        mHosts = hosts;
        mLoadCache = loadCache;
    }

    /**
     * Returns the shards of a region in which a task of the job fits an empty worker, best first:
     * shards with room for a task now, then by the number of tasks that fit the free room.
     */
    List<String> candidates(JobSpec spec, String region) {
        return mDirectory.shards().stream()
                .filter(row -> row.region().equals(region))
                .map(ShardRow::shard)
                .filter(shard -> fitsSomeWorker(spec, shard))
                .sorted(byFreeRoom(spec))
                .toList();
    }

    /** Returns whether the workers are known. */
    boolean hasReadHosts() {
        return mHosts.revision() > 0;
    }

    /** Returns whether the region has any shard. */
    boolean hasShards(String region) {
        return mDirectory.shards().stream().anyMatch(row -> row.region().equals(region));
    }

    private boolean fitsSomeWorker(JobSpec spec, String shard) {
        return mHosts.hostsOf(shard).stream()
                .map(HostInfo::capacity)
                .anyMatch(capacity -> spec.room().fitsIn(capacity));
    }

    private Comparator<String> byFreeRoom(JobSpec spec) {
        return Comparator.comparing((String shard) -> !fitsNow(spec, shard))
                .thenComparing(shard -> -taskCapacity(spec, shard))
                .thenComparing(shard -> (shard + spec.id()).hashCode());
    }

    private boolean fitsNow(JobSpec spec, String shard) {
        return mLoadCache
                .digest(shard)
                .map(digest -> spec.room().fitsIn(digest.largestFree()))
                .getOrElse(false);
    }

    private long taskCapacity(JobSpec spec, String shard) {
        Room free = mLoadCache.digest(shard).map(digest -> digest.freeRoom()).getOrElse(Room.NONE);
        long byCpu = free.cpuMillis() / Math.max(1, spec.room().cpuMillis());
        long byMemory = free.memoryBytes() / Math.max(1, spec.room().memoryBytes());
        return Math.min(byCpu, byMemory);
    }
}
