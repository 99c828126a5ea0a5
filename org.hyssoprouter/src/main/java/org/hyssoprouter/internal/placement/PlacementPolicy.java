package org.hyssoprouter.internal.placement;

import java.util.List;

/**
 * Chooses workers for the tasks of one kind of work.
 *
 * @since 0.1
 */
public interface PlacementPolicy {
    /**
     * Chooses workers and holds room on them.
     *
     * @return one assignment for each task that got a worker, in the order of the request; tasks
     *     that are not among them hold nothing
     */
    List<Assignment> place(PlacementRequest request, Fleet fleet);
}
