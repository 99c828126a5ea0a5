package org.hyssoprouter.transport;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;

/**
 * Port to executors. Futures complete normally; failures are in the {@code Either}.
 *
 * @since 0.1
 */
public interface ExecutorClient {
    /** Sends one request and returns its complete answer. */
    CompletableFuture<Either<CallError, Answer>> execute(String address, Execution execution);

    /** Shows the executor an epoch and returns how many of its slots are in use. */
    CompletableFuture<Either<CallError, Integer>> slotsInUse(
            String address, String shard, long epoch);

    /**
     * One request to an executor.
     *
     * @param shard shard that the executor belongs to
     * @param epoch epoch of the owner; an executor that knows a newer one refuses
     * @param requestId id of the request, never used again
     * @param body content of the request
     * @param timeoutMillis time after which no answer is awaited
     */
    record Execution(String shard, long epoch, String requestId, byte[] body, long timeoutMillis) {}

    /**
     * Complete answer of an executor.
     *
     * @param status HTTP status
     * @param body content
     */
    record Answer(int status, byte[] body) {}
}
