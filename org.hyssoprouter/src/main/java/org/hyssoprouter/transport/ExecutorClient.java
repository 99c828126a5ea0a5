package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;

/**
 * Port to executors. Futures never complete exceptionally; failures are in the {@code Either}.
 *
 * @since 0.1
 */
public interface ExecutorClient {
    /** Sends one request and returns its complete answer. */
    CompletableFuture<Either<CallError, Answer>> execute(String address, Execution execution);

    /** Reports the owner's epoch to the executor and returns the number of its slots in use. */
    CompletableFuture<Either<CallError, Integer>> slotsInUse(
            String address, String shard, long epoch);

    /**
     * One request to an executor.
     *
     * @param shard shard that the executor belongs to
     * @param epoch epoch of the owner; an executor that has received a newer epoch refuses the call
     * @param requestId id of the request, never reused
     * @param body content of the request
     * @param timeoutMillis timeout of the call, in milliseconds
     */
    record Execution(String shard, long epoch, String requestId, byte[] body, long timeoutMillis) {}

    /**
     * Complete reply of an executor.
     *
     * @param status HTTP status
     * @param body content
     */
    record Answer(int status, byte[] body) {}
}
