package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;

/**
 * Port to the workers that run tasks of workflows. Futures complete normally.
 *
 * @since 0.2
 */
public interface TaskRunner {
    /**
     * Starts a run; a repeat of the same order has no further effect.
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
     * Renews the lease of everything on a worker and asks for its runs.
     *
     * @param workerId worker that must answer; another one at its address refuses
     * @param address {@code ip:port} of the worker
     */
    CompletableFuture<Either<CallError, RunReport>> renew(
            String workerId, String address, Renewal renewal);

    /**
     * Sets the share of its speed at which a run may work.
     *
     * @param percent 0 to 100
     * @return whether the worker acknowledged the order
     */
    CompletableFuture<Boolean> setSpeed(TaskStop run, int percent, long token);

    /**
     * Renewal of a worker's lease.
     *
     * @param token fencing token of the owner
     * @param acknowledged highest end that is durable at the owner
     * @param deadlineMillis end of the lease on the worker's clock, in milliseconds; 0 to leave it
     * @param waitMillis time that the worker may wait for an end before it answers
     */
    record Renewal(long token, long acknowledged, long deadlineMillis, long waitMillis) {}
}
