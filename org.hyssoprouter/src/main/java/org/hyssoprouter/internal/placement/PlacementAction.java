package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/**
 * Something that the driver has to do at a worker.
 *
 * @since 0.1
 */
public sealed interface PlacementAction {
    /** Returns the attempt that it is about. */
    AttemptId attempt();

    /** Returns the worker to call. */
    String worker();

    /**
     * Starts an attempt.
     *
     * @param attempt attempt
     * @param worker worker that holds room for it
     * @param room room that it may use
     * @param runTimeMillis declared run time
     * @param command text for the worker
     */
    record Start(AttemptId attempt, String worker, Room room, long runTimeMillis, String command)
            implements PlacementAction {}

    /**
     * Stops an attempt.
     *
     * @param attempt attempt
     * @param worker worker where it may run
     * @param mode what to do before it is stopped
     */
    record Stop(AttemptId attempt, String worker, StopMode mode) implements PlacementAction {}
}
