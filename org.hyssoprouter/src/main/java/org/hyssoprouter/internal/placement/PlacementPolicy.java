package org.hyssoprouter.internal.placement;

import java.util.List;

/**
 * Strategy that chooses the workers for the tasks of a job.
 *
 * @since 0.1
 */
public interface PlacementPolicy {
    /**
     * Chooses workers and holds room on them.
     *
     * @return one assignment per placed task, in the order of the request; no room is held for the
     *     other tasks
     */
    List<Assignment> place(PlacementRequest request, Fleet fleet);
}
