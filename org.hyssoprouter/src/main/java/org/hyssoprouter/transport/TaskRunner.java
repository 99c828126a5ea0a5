package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;

/**
 * Port to the workers that run tasks of workflows. Futures never complete exceptionally.
 *
 * @since 0.2
 */
public interface TaskRunner {
    /**
     * Starts a run; repeating the same order has no effect.
     *
     * @param deadlineMillis end of the lease on the worker's clock, in milliseconds
     * @param token fencing token of the owner
     */
    CompletableFuture<StartOutcome> start(TaskStart order, long deadlineMillis, long token);

    /**
     * Stops a run.
     *
     * @return whether the worker acknowledged the order
     */
    CompletableFuture<Boolean> stop(TaskStop order, long token);

    /**
     * Renews the lease of all runs on a worker and requests a report on them.
     *
     * @param workerId id of the worker; a different worker at the address refuses the call
     * @param address {@code ip:port} of the worker
     */
    CompletableFuture<Either<CallError, RunReport>> renew(
            String workerId, String address, Renewal renewal);

    /**
     * Closes the idle connections to a worker that has restarted. Its new incarnation may leave
     * them without an answer.
     *
     * @param address {@code ip:port} of the worker
     * @since 0.3
     */
    default void closeIdleConnections(String address) {}

    /**
     * Limits the speed of a run.
     *
     * @param percent percentage of full speed, 0 to 100
     * @return whether the worker acknowledged the order
     */
    CompletableFuture<Boolean> setSpeed(TaskStop run, int percent, long token);

    /**
     * Renewal of a worker's lease.
     *
     * @param token fencing token of the owner
     * @param acknowledged highest sequence number of a run's end that the owner has made durable
     * @param deadlineMillis end of the lease on the worker's clock, in milliseconds; 0 to leave it
     *     unchanged
     * @param waitMillis maximum time in milliseconds that the worker waits for the end of a run
     *     before it replies
     */
    record Renewal(long token, long acknowledged, long deadlineMillis, long waitMillis) {}
}
