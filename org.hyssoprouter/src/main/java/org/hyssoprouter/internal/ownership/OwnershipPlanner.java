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
 * Assigns an owner to each shard without a live owner. The result is deterministic: daemons with
 * the same view of the cell compute the same plan. Shards with a live owner are not moved.
 *
 * <p>Candidates are compared in this order: daemons of the shard's region, so that other regions
 * are used only if the region has no live daemon; daemons below their even share of the shards;
 * daemons of the shard's failure domain; and finally rendezvous hashing.
 *
 * @since 0.1
 */
public final class OwnershipPlanner {
    private OwnershipPlanner() {}

    /**
     * Computes the plan.
     *
     * @param shards all shards
     * @param candidates live daemons that are not stopping
     * @return new owner of each shard whose current owner is not a candidate, by shard name; empty
     *     if there are no candidates
     */
    public static Map<String, DaemonRow> plan(List<ShardRow> shards, List<DaemonRow> candidates) {
        Map<String, DaemonRow> owners = new HashMap<>();
        if (candidates.isEmpty()) {
            return owners;
        }
        Map<String, Integer> shardCounts = new HashMap<>();
        candidates.forEach(daemon -> shardCounts.put(daemon.name(), 0));
        List<ShardRow> unowned = new ArrayList<>();
        for (ShardRow shard : shards) {
            if (shardCounts.containsKey(shard.owner())) {
                shardCounts.merge(shard.owner(), 1, Integer::sum);
            } else {
                unowned.add(shard);
            }
        }
        int evenShare = (shards.size() + candidates.size() - 1) / candidates.size();
        unowned.sort(Comparator.comparing(ShardRow::shard));
        for (ShardRow shard : unowned) {
            Option<DaemonRow> chosen = chooseOwner(shard, candidates, shardCounts, evenShare);
            chosen.peek(daemon -> owners.put(shard.shard(), daemon));
            chosen.peek(daemon -> shardCounts.merge(daemon.name(), 1, Integer::sum));
        }
        return owners;
    }

    private static Option<DaemonRow> chooseOwner(
            ShardRow shard,
            List<DaemonRow> candidates,
            Map<String, Integer> shardCounts,
            int evenShare) {
        Comparator<DaemonRow> order =
                Comparator.comparing((DaemonRow d) -> !d.region().equals(shard.region()))
                        .thenComparing(d -> shardCounts.getOrDefault(d.name(), 0) >= evenShare)
                        .thenComparing(d -> !d.domain().equals(domainOf(shard.shard())))
                        .thenComparing(d -> hash(shard.shard(), d.name()));
        return Option.ofOptional(candidates.stream().min(order));
    }

    /** Returns the failure domain of a shard: the part of its name before the first slash. */
    public static String domainOf(String shard) {
        int slash = shard.indexOf('/');
        return slash < 0 ? shard : shard.substring(0, slash);
    }

    private static long hash(String shard, String daemon) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] input = (shard + "\n" + daemon).getBytes(StandardCharsets.UTF_8);
            return ByteBuffer.wrap(digest.digest(input)).getLong();
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform is required to support SHA-256.
            throw new IllegalStateException("SHA-256 is not available on this Java platform", e);
        }
    }
}
