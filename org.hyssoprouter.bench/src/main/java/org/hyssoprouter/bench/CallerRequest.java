package org.hyssoprouter.bench;

import java.nio.charset.StandardCharsets;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request.
 *
 * @param key first line of the body, by which executors' histories name the request
 * @param customer customer
 * @param trafficClass class
 * @param timeoutMillis deadline given to the entry
 * @param idempotent whether it may run more than once
 * @param idempotencyKey key of a repeatable non-idempotent request, or null
 * @param workMillis time that the executor takes
 * @param sizeBytes size of the answer
 * @param padBytes bytes added to the request's body
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
    /** Returns an ordinary request that may run more than once. */
    public static CallerRequest idempotent(String key, String customer, long workMillis) {
        return new CallerRequest(
                key, customer, TrafficClass.NORMAL, 5_000, true, null, workMillis, 0, 0);
    }

    /** Returns an ordinary request that must run at most once; its key is the idempotency key. */
    public static CallerRequest atMostOnce(String key, String customer, long workMillis) {
        return new CallerRequest(
                key, customer, TrafficClass.NORMAL, 5_000, false, key, workMillis, 0, 0);
    }

    /** Returns this request in another class and with another deadline. */
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

    /** Returns this request with other sizes of answer and body. */
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

    /** Returns the body. */
    public byte[] body() {
        String text = key + "\nwork=" + workMillis + " size=" + sizeBytes + "\n";
        return (text + "p".repeat(padBytes)).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the only complete answer to this request. */
    public byte[] expectedAnswer() {
        return (key + "\n" + "x".repeat(sizeBytes)).getBytes(StandardCharsets.UTF_8);
    }
}
