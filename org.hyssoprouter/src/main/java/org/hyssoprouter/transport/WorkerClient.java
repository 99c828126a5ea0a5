package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TaskId;

/**
 * Port to the workers that run tasks of jobs. Futures never complete exceptionally; failures are in
 * the {@code Either}.
 *
 * @since 0.1
 */
public interface WorkerClient {
    /** Renews the lease and returns the inventory of the worker at {@code address}. */
    CompletableFuture<Either<CallError, WorkerStatus>> renew(String address, LeaseRenewal renewal);

    /** Starts an attempt; repeating the start of the same attempt has no effect. */
    CompletableFuture<Either<CallError, TaskReport>> start(String address, StartOrder order);

    /**
     * Stops or throttles an attempt; has no effect on an attempt that has ended.
     *
     * @param mode how the attempt is stopped, or that it is throttled
     */
    CompletableFuture<Either<CallError, TaskReport>> stop(
            String address, String shard, long epoch, TaskId task, int attempt, StopMode mode);

    /** Way to stop or throttle a running attempt. */
    enum StopMode {
        /** Stop immediately. */
        KILL,
        /** Write a checkpoint, then stop. */
        CHECKPOINT,
        /** Keep running with less CPU time. */
        THROTTLE
    }
}
