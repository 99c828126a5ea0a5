package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TaskId;

/**
 * Port to workers. Futures complete normally; failures are in the {@code Either}.
 *
 * @since 0.1
 */
public interface WorkerClient {
    /** Renews the lease and returns the inventory of the worker at {@code address}. */
    CompletableFuture<Either<CallError, WorkerStatus>> renew(String address, LeaseRenewal renewal);

    /** Starts an attempt; a repeat of the same attempt has no further effect. */
    CompletableFuture<Either<CallError, TaskReport>> start(String address, StartOrder order);

    /**
     * Stops an attempt; one that has ended is left as it is.
     *
     * @param mode what to do before the task is stopped
     */
    CompletableFuture<Either<CallError, TaskReport>> stop(
            String address, String shard, long epoch, TaskId task, int attempt, StopMode mode);

    /** How a running attempt is stopped or held back. */
    enum StopMode {
        /** Stop at once. */
        KILL,
        /** Write a checkpoint, then stop. */
        CHECKPOINT,
        /** Keep running with less processor time. */
        THROTTLE
    }
}
