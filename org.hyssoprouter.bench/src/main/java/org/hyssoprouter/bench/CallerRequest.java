package org.hyssoprouter.bench;

import java.nio.charset.StandardCharsets;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * A request that a simulated caller sends.
 *
 * @param key first line of the body, which identifies the request in executor histories
 * @param customer name of the customer
 * @param trafficClass traffic class
 * @param timeoutMillis deadline sent to the daemon, in milliseconds
 * @param idempotent whether it may run more than once
 * @param idempotencyKey key that makes a non-idempotent request retryable, or null
 * @param workMillis run time on the executor, in milliseconds
 * @param sizeBytes size of the answer, in bytes
 * @param padBytes number of padding bytes in the request body
 * @since 0.1
 */
public record CallerRequest(
        String key,
        String customer,
        TrafficClass trafficClass,
        long timeoutMillis,
        boolean idempotent,
        @Nullable String idempotencyKey,
        long workMillis,
        int sizeBytes,
        int padBytes) {
    /** Returns a request of class NORMAL that may run more than once. */
    public static CallerRequest idempotent(String key, String customer, long workMillis) {
        return new CallerRequest(
                key, customer, TrafficClass.NORMAL, 5_000, true, null, workMillis, 0, 0);
    }

    /** Returns a NORMAL request that runs at most once; its key is the idempotency key. */
    public static CallerRequest atMostOnce(String key, String customer, long workMillis) {
        return new CallerRequest(
                key, customer, TrafficClass.NORMAL, 5_000, false, key, workMillis, 0, 0);
    }

    /** Returns a copy with the given traffic class and deadline in milliseconds. */
    public CallerRequest withClass(TrafficClass newClass, long newTimeoutMillis) {
        return new CallerRequest(
                key,
                customer,
                newClass,
                newTimeoutMillis,
                idempotent,
                idempotencyKey,
                workMillis,
                sizeBytes,
                padBytes);
    }

    /** Returns a copy with the given answer size and request padding in bytes. */
    public CallerRequest withSizes(int newSizeBytes, int newPadBytes) {
        return new CallerRequest(
                key,
                customer,
                trafficClass,
                timeoutMillis,
                idempotent,
                idempotencyKey,
                workMillis,
                newSizeBytes,
                newPadBytes);
    }

    /** Returns the request body. */
    public byte[] body() {
        String text = key + "\nwork=" + workMillis + " size=" + sizeBytes + "\n";
        return (text + "p".repeat(padBytes)).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the complete answer that an executor must give to this request. */
    public byte[] expectedAnswer() {
        return (key + "\n" + "x".repeat(sizeBytes)).getBytes(StandardCharsets.UTF_8);
    }
}
