package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.internal.journal.ShardEvent;

/**
 * Output of the scheduler: events to append to the journal, and actions to carry out after that.
 *
 * @param events events in the order of the decisions
 * @param actions actions in the order of the decisions
 * @since 0.1
 */
public record JobSchedulerOutput(List<ShardEvent> events, List<PlacementAction> actions) {
    /** Returns whether there are neither events nor actions. */
    public boolean isEmpty() {
        return events.isEmpty() && actions.isEmpty();
    }
}
