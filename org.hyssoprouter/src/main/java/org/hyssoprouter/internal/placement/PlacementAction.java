package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.WorkerClient.StopMode;

/**
 * Call to a worker that the driver of the scheduler has to make.
 *
 * @since 0.1
 */
public sealed interface PlacementAction {
    /** Returns the attempt to start or stop. */
    AttemptId attempt();

    /** Returns the worker to call. */
    String worker();

    /**
     * Starts an attempt.
     *
     * @param attempt attempt to start
     * @param worker worker that holds room for it
     * @param room room that it may use
     * @param runTimeMillis declared run time of the task; 0 means unknown or endless
     * @param command opaque text handed to the worker
     */
    record Start(AttemptId attempt, String worker, Room room, long runTimeMillis, String command)
            implements PlacementAction {}

    /**
     * Stops an attempt.
     *
     * @param attempt attempt to stop
     * @param worker worker that may run it
     * @param mode how to stop it
     */
    record Stop(AttemptId attempt, String worker, StopMode mode) implements PlacementAction {}
}
