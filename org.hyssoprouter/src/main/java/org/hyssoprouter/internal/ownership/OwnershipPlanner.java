package org.hyssoprouter.internal.ownership;

import io.vavr.control.Option;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses an owner for each shard that has none, the same one at every daemon with the same view:
 * rendezvous hashing among the daemons of the shard's failure domain, then of its region, and of
 * other regions only if the region has no live daemon. No daemon gets more than its even share
 * while another candidate has less. Shards with a live owner stay where they are.
 *
 * @since 0.1
 */
public final class OwnershipPlanner {
    private OwnershipPlanner() {}

    /**
     * Chooses owners.
     *
     * @param shards all shards
     * @param candidates live daemons that are not stopping
     * @return chosen daemon of each shard whose owner is no candidate; none without candidates
     */
    public static Map<String, DaemonRow> plan(List<ShardRow> shards, List<DaemonRow> candidates) {
        Map<String, DaemonRow> chosen = new HashMap<>();
        if (candidates.isEmpty()) {
            return chosen;
        }
        Map<String, Integer> owned = new HashMap<>();
        candidates.forEach(daemon -> owned.put(daemon.name(), 0));
        List<ShardRow> orphans = new ArrayList<>();
        for (ShardRow shard : shards) {
            if (owned.containsKey(shard.owner())) {
                owned.merge(shard.owner(), 1, Integer::sum);
            } else {
                orphans.add(shard);
            }
        }
        int evenShare = (shards.size() + candidates.size() - 1) / candidates.size();
        orphans.sort(Comparator.comparing(ShardRow::shard));
        for (ShardRow shard : orphans) {
            Option<DaemonRow> best = choose(shard, candidates, owned, evenShare);
            best.peek(daemon -> chosen.put(shard.shard(), daemon));
            best.peek(daemon -> owned.merge(daemon.name(), 1, Integer::sum));
        }
        return chosen;
    }

    private static Option<DaemonRow> choose(
            ShardRow shard, List<DaemonRow> candidates, Map<String, Integer> owned, int evenShare) {
        Comparator<DaemonRow> order =
                Comparator.comparing((DaemonRow d) -> !d.region().equals(shard.region()))
                        .thenComparing(d -> owned.getOrDefault(d.name(), 0) >= evenShare)
                        .thenComparing(d -> !d.domain().equals(domainOf(shard.shard())))
                        .thenComparing(d -> weight(shard.shard(), d.name()));
        return Option.ofOptional(candidates.stream().min(order));
    }

    /** Returns the failure domain of a shard. */
    public static String domainOf(String shard) {
        int slash = shard.indexOf('/');
        return slash < 0 ? shard : shard.substring(0, slash);
    }

    private static long weight(String shard, String daemon) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] name = (shard + "\n" + daemon).getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.wrap(digest.digest(name)).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
