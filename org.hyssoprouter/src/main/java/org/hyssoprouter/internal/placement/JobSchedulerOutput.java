package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.internal.journal.ShardEvent;

/**
 * Outcome of decisions: events to journal, then actions to carry out.
 *
 * @param events events in the order of the decisions
 * @param actions actions in the order of the decisions
 * @since 0.1
 */
public record JobSchedulerOutput(List<ShardEvent> events, List<PlacementAction> actions) {
    /** Returns whether there is nothing to do. */
    public boolean isEmpty() {
        return events.isEmpty() && actions.isEmpty();
    }
}
