package org.hyssoprouter.transport;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;

/**
 * A worker's report on one attempt of a task.
 *
 * @param task id of the task
 * @param attempt number of the attempt, from 1
 * @param state state of the attempt
 * @param usage resources in use at the last measurement; the peak for an ended attempt
 * @param message reason of a failure; else empty
 * @since 0.1
 */
public record TaskReport(TaskId task, int attempt, State state, Room usage, String message) {
    /** State of an attempt on its worker. */
    public enum State {
        /** Is running. */
        RUNNING,
        /** Ended by itself, successfully. */
        SUCCEEDED,
        /** Ended by itself with a failure. */
        FAILED,
        /** Was stopped by an order, after a checkpoint if one could be written. */
        STOPPED,
        /** Was stopped by the worker because its lease expired. */
        LEASE_LAPSED
    }

    /** Returns whether the attempt has ended and no longer uses resources. */
    public boolean hasEnded() {
        return state != State.RUNNING;
    }
}
