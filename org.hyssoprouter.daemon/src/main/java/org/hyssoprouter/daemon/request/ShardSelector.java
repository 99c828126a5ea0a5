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

/** Chooses the shard whose owner shall answer a request. */
final class ShardSelector {
    private final ShardDirectory mDirectory;
    private final HostDirectory mHosts;
    private final ShardLoadTracker mLoadTracker;
    private final String mRegion;

    ShardSelector(
            ShardDirectory directory, HostDirectory hosts, ShardLoadTracker loads, String region) {
        mDirectory = directory;
        mHosts = hosts;
        mLoadTracker = loads;
        mRegion = region;
    }

    /** Returns whether any shard has an executor that answers for a service. */
    boolean isServed(String service) {
        return mDirectory.shards().stream().anyMatch(row -> hasExecutor(row.shard(), service));
    }

    /**
     * Returns the home shard of an idempotency key: the highest of the hashes over the shards of a
     * region, so that every entry finds the same one.
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
     * Returns the better of two shards drawn at random, from the own region if one there may be
     * chosen.
     *
     * @param allowed whether a shard may be chosen
     */
    Option<ShardRow> select(String service, Predicate<String> allowed) {
        List<ShardRow> near = new ArrayList<>();
        List<ShardRow> far = new ArrayList<>();
        for (ShardRow row : mDirectory.shards()) {
            if (allowed.test(row.shard()) && hasExecutor(row.shard(), service)) {
                (row.region().equals(mRegion) ? near : far).add(row);
            }
        }
        return lessLoadedOfTwo(near.isEmpty() ? far : near, service);
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
            if (live && host.executors().stream().anyMatch(e -> e.service().equals(service))) {
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
