package org.hyssoprouter.internal.workspace;

import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.Room;

/**
 * Compares the room that active workspaces use with their fair shares of the capacity. A
 * workspace's use is its dominant share, the largest one of any resource, so that one cannot hold
 * all accelerators because it uses little CPU; its fair share is its part of the weights of all
 * active workspaces.
 *
 * @since 0.3
 */
public final class WorkspaceShares {
    /**
     * Part of the capacity by which a workspace may exceed its fair share. About what a wide gang
     * takes: otherwise a small workspace would be behind the others with a single gang.
     */
    static final double ALLOWANCE = 0.05;

    private final Room mCapacity;
    private final Map<String, Double> mWeights = new HashMap<>();
    private double mTotalWeight;

    /** Creates the shares of a capacity, without active workspaces. */
    public WorkspaceShares(Room capacity) {
        mCapacity = capacity;
    }

    /** Adds an active workspace: one that has work waiting or running. */
    public void addActive(String workspace, double weight) {
        if (mWeights.putIfAbsent(workspace, weight) == null) {
            mTotalWeight += weight;
        }
    }

    /**
     * Returns how far a workspace is above its fair share: 0 if it is within it, and one more for
     * each further {@link #ALLOWANCE}. The excess counts as a part of the capacity, since that is
     * what others lack; coarsely, so that the order within a level stays that of the objectives.
     */
    public int levelOf(String workspace, Room used) {
        double weight = mWeights.getOrDefault(workspace, 0.0);
        if (weight <= 0) {
            return 0;
        }
        double excess = dominantShare(used) - weight / mTotalWeight;
        return (int) Math.max(0, Math.ceil(excess / ALLOWANCE - 1));
    }

    private double dominantShare(Room used) {
        double share = share(used.cpuMillis(), mCapacity.cpuMillis());
        share = Math.max(share, share(used.memoryBytes(), mCapacity.memoryBytes()));
        return Math.max(share, share(used.accelerators(), mCapacity.accelerators()));
    }

    private static double share(long used, long capacity) {
        return capacity <= 0 ? 0 : (double) used / capacity;
    }
}
