package org.hyssoprouter.daemon.request;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.transport.HostDirectory;

/** Selects the shard whose owner handles a request. */
final class ShardSelector {
    private final ShardDirectory mDirectory;
    private final HostDirectory mHosts;
    private final ShardLoadTracker mLoadTracker;
    private final String mRegion;

    ShardSelector(
            ShardDirectory directory,
            HostDirectory hosts,
            ShardLoadTracker loadTracker,
            String region) {
        mDirectory = directory;
        mHosts = hosts;
        mLoadTracker = loadTracker;
        mRegion = region;
    }

    /** Returns whether any shard has a live executor of a service. */
    boolean isServed(String service) {
        return mDirectory.shards().stream().anyMatch(row -> hasExecutor(row.shard(), service));
    }

    /**
     * Returns the home shard of an idempotency key: the shard of the region with the highest hash
     * (rendezvous hashing), so that every daemon selects the same one.
     */
    Option<ShardRow> homeShard(String region, String customer, String key) {
        ShardRow best = null;
        long bestHash = Long.MIN_VALUE;
        for (ShardRow row : mDirectory.shards()) {
            if (!row.region().equals(region)) {
                continue;
            }
            long hash = hash(row.shard(), customer, key);
            if (best == null || hash > bestHash) {
                best = row;
                bestHash = hash;
            }
        }
        return Option.of(best);
    }

    /**
     * Returns the less loaded of two random shards with executors of a service. Shards of the local
     * region take precedence.
     *
     * @param allowed returns whether a shard may be selected
     */
    Option<ShardRow> select(String service, Predicate<String> allowed) {
        List<ShardRow> local = new ArrayList<>();
        List<ShardRow> remote = new ArrayList<>();
        for (ShardRow row : mDirectory.shards()) {
            if (allowed.test(row.shard()) && hasExecutor(row.shard(), service)) {
                (row.region().equals(mRegion) ? local : remote).add(row);
            }
        }
        return lessLoadedOfTwo(local.isEmpty() ? remote : local, service);
    }

    private Option<ShardRow> lessLoadedOfTwo(List<ShardRow> rows, String service) {
        if (rows.isEmpty()) {
            return Option.none();
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        int first = random.nextInt(rows.size());
        if (rows.size() == 1) {
            return Option.some(rows.get(first));
        }
        int second = (first + 1 + random.nextInt(rows.size() - 1)) % rows.size();
        double firstLoad = mLoadTracker.loadOf(rows.get(first).shard(), service);
        double secondLoad = mLoadTracker.loadOf(rows.get(second).shard(), service);
        return Option.some(rows.get(secondLoad < firstLoad ? second : first));
    }

    private boolean hasExecutor(String shard, String service) {
        for (HostInfo host : mHosts.hostsOf(shard)) {
            boolean live = host.state() == HostState.LIVE;
            if (live
                    && host.executors().stream()
                            .anyMatch(executor -> executor.service().equals(service))) {
                return true;
            }
        }
        return false;
    }

    private static long hash(String shard, String customer, String key) {
        byte[] hash = Hashes.sha256(shard + '\0' + customer, key.getBytes(StandardCharsets.UTF_8));
        return ByteBuffer.wrap(hash).getLong();
    }
}
