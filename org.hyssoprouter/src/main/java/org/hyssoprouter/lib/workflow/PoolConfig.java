package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Configuration of queues and pools. Immutable.
 *
 * @since 0.2
 */
public final class PoolConfig {
    private static final int MAX_REMOVED_QUEUES = 1_000;
    private static final int MAX_REMOVED_WORKSPACES = 1_000;

    /** Empty configuration, in force until the first one is read. */
    public static final PoolConfig NONE = new PoolConfig(0, List.of(), List.of());

    private final long mVersion;
    private final List<QueuePolicy> mQueues;
    private final List<String> mPools;
    private final List<WorkspacePolicy> mWorkspaces;

    // Built at the first lookup, because not every configuration is searched.
    private volatile @Nullable QueueIndex mIndex;

    /**
     * Creates a configuration.
     *
     * @param version number of the configuration; a higher version replaces a lower one
     * @param queues policies of all queues
     * @param pools names of all pools in use
     * @param workspaces policies of all workspaces; empty if the cell has no workspaces
     */
    public PoolConfig(
            long version,
            List<QueuePolicy> queues,
            List<String> pools,
            List<WorkspacePolicy> workspaces) {
        mVersion = version;
        mQueues = List.copyOf(queues);
        mPools = List.copyOf(pools);
        mWorkspaces = List.copyOf(workspaces);
    }

    /** Creates a configuration without workspaces. */
    public PoolConfig(long version, List<QueuePolicy> queues, List<String> pools) {
        this(version, queues, pools, List.of());
    }

    /** Returns the number of the configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns the policies of all queues. */
    public List<QueuePolicy> queues() {
        return mQueues;
    }

    /** Returns the names of all pools in use. */
    public List<String> pools() {
        return mPools;
    }

    /** Returns the policies of all workspaces; empty if the cell has no workspaces. */
    public List<WorkspacePolicy> workspaces() {
        return mWorkspaces;
    }

    /** Returns the policy of the named queue, or none if it is not configured. */
    public Option<QueuePolicy> queue(String name) {
        return index().queue(name);
    }

    /**
     * Returns this configuration with the queues and workspaces of an earlier one that it lacks,
     * those removed last if there are too many. Such a workspace has no keys.
     */
    public PoolConfig withQueuesOf(PoolConfig earlier) {
        QueueIndex index = index();
        List<QueuePolicy> removed =
                earlier.queues().stream()
                        .filter(queue -> index.queue(queue.name()).isEmpty())
                        .limit(MAX_REMOVED_QUEUES)
                        .toList();
        List<WorkspacePolicy> removedWorkspaces = workspacesRemovedSince(earlier);
        if (removed.isEmpty() && removedWorkspaces.isEmpty()) {
            return this;
        }
        List<QueuePolicy> all = new ArrayList<>(mQueues);
        all.addAll(removed);
        List<WorkspacePolicy> allWorkspaces = new ArrayList<>(mWorkspaces);
        allWorkspaces.addAll(removedWorkspaces);
        return new PoolConfig(mVersion, all, mPools, allWorkspaces);
    }

    private List<WorkspacePolicy> workspacesRemovedSince(PoolConfig earlier) {
        Set<String> names = new HashSet<>();
        mWorkspaces.forEach(workspace -> names.add(workspace.name()));
        return earlier.workspaces().stream()
                .filter(workspace -> !names.contains(workspace.name()))
                .limit(MAX_REMOVED_WORKSPACES)
                .map(it -> new WorkspacePolicy(it.name(), it.weight(), it.quota(), List.of()))
                .toList();
    }

    /** Returns the queue with the longest path prefix that matches a request, or none. */
    public Option<QueuePolicy> route(String host, String path) {
        return index().route(host, path);
    }

    private QueueIndex index() {
        QueueIndex index = mIndex;
        if (index == null) {
            index = new QueueIndex(mQueues);
            mIndex = index;
        }
        return index;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PoolConfig config
                && mVersion == config.mVersion
                && mQueues.equals(config.mQueues)
                && mPools.equals(config.mPools)
                && mWorkspaces.equals(config.mWorkspaces);
    }

    @Override
    public int hashCode() {
        return Objects.hash(mVersion, mQueues, mPools, mWorkspaces);
    }

    @Override
    public String toString() {
        return "PoolConfig[version=%d, %d queues, %d workspaces]"
                .formatted(mVersion, mQueues.size(), mWorkspaces.size());
    }
}
