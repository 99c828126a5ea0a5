package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;
import org.hyssoprouter.util.MessageCodec;

/**
 * What has changed from one version of the configuration to another. Changes from version 0 hold
 * the whole configuration.
 *
 * @param version version after the changes
 * @param baseVersion version before them; 0 if these are the whole configuration
 * @param queues added and changed queues
 * @param removedQueues names of removed queues
 * @param workspaces added and changed workspaces
 * @param removedWorkspaces names of removed workspaces
 * @param pools names of all pools
 */
record ConfigChanges(
        long version,
        long baseVersion,
        List<QueueEntry> queues,
        List<String> removedQueues,
        List<WorkspacePolicy> workspaces,
        List<String> removedWorkspaces,
        List<String> pools) {
    /** Returns a whole configuration. */
    static ConfigChanges whole(PoolConfig target) {
        return between(new PoolConfig(0, List.of(), List.of()), target);
    }

    /**
     * Returns the changes from a version to another one, or the whole of the latter if they do not
     * lead to an equal one because its queues or workspaces are not sorted by name.
     */
    static ConfigChanges since(PoolConfig base, PoolConfig target) {
        ConfigChanges changes = between(base, target);
        return changes.applyTo(base).contains(target) ? changes : whole(target);
    }

    private static ConfigChanges between(PoolConfig base, PoolConfig target) {
        return new ConfigChanges(
                target.version(),
                base.version(),
                added(base.queues(), target.queues(), QueuePolicy::name).stream()
                        .map(QueueEntry::of)
                        .toList(),
                removed(base.queues(), target.queues(), QueuePolicy::name),
                added(base.workspaces(), target.workspaces(), WorkspacePolicy::name),
                removed(base.workspaces(), target.workspaces(), WorkspacePolicy::name),
                target.pools());
    }

    private static <T> List<T> added(List<T> base, List<T> target, Function<T, String> name) {
        Map<String, T> byName = new HashMap<>();
        base.forEach(item -> byName.put(name.apply(item), item));
        return target.stream().filter(item -> !item.equals(byName.get(name.apply(item)))).toList();
    }

    private static <T> List<String> removed(
            List<T> base, List<T> target, Function<T, String> name) {
        Set<String> names = new HashSet<>();
        target.forEach(item -> names.add(name.apply(item)));
        return base.stream().map(name).filter(it -> !names.contains(it)).toList();
    }

    /** Returns the configuration after the changes, or none if they do not start at this one. */
    Option<PoolConfig> applyTo(PoolConfig held) {
        if (baseVersion != 0 && held.version() != baseVersion) {
            return Option.none();
        }
        PoolConfig base = baseVersion == 0 ? PoolConfig.NONE : held;
        List<QueuePolicy> changed = queues.stream().map(QueueEntry::toPolicy).toList();
        return Option.some(
                new PoolConfig(
                        version,
                        merge(base.queues(), changed, removedQueues, QueuePolicy::name),
                        pools,
                        merge(
                                base.workspaces(),
                                workspaces,
                                removedWorkspaces,
                                WorkspacePolicy::name)));
    }

    private static <T> List<T> merge(
            List<T> base, List<T> changed, List<String> removed, Function<T, String> name) {
        Map<String, T> byName = new HashMap<>();
        changed.forEach(item -> byName.put(name.apply(item), item));
        Set<String> removedNames = new HashSet<>(removed);
        Set<String> baseNames = new HashSet<>();
        List<T> merged = new ArrayList<>();
        for (T item : base) {
            String itemName = name.apply(item);
            baseNames.add(itemName);
            if (!removedNames.contains(itemName)) {
                merged.add(byName.getOrDefault(itemName, item));
            }
        }
        changed.stream().filter(item -> !baseNames.contains(name.apply(item))).forEach(merged::add);
        if (!base.isEmpty()) {
            merged.sort(Comparator.comparing(name));
        }
        return merged;
    }

    byte[] encode() {
        return Compression.compress(MessageCodec.encode(this));
    }

    static ConfigChanges decode(byte[] bytes) throws IOException {
        return MessageCodec.decode(Compression.decompress(bytes), ConfigChanges.class);
    }
}
