package org.hyssoprouter.transport;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;

/**
 * What a worker says of one attempt of a task.
 *
 * @param task task
 * @param attempt attempt
 * @param state state of the attempt
 * @param usage room in use, measured some time ago; the peak for an ended attempt
 * @param message reason of a failure, else empty
 * @since 0.1
 */
public record TaskReport(TaskId task, int attempt, State state, Room usage, String message) {
    /** State of an attempt on its worker. */
    public enum State {
        /** Is running. */
        RUNNING,
        /** Ended by itself with success. */
        SUCCEEDED,
        /** Ended by itself with a failure. */
        FAILED,
        /** Was stopped on order, checkpointed first if it could be. */
        STOPPED,
        /** Was stopped by the worker because its lease lapsed. */
        LEASE_LAPSED
    }

    /** Returns whether the attempt no longer uses room. */
    public boolean hasEnded() {
        return state != State.RUNNING;
    }
}
