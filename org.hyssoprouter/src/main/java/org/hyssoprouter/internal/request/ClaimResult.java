package org.hyssoprouter.internal.request;

import org.hyssoprouter.internal.journal.ShardEvent.ClaimMade;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;

/**
 * What a {@link IdempotencyKeyStore} says to a request that brings an idempotency key.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {
    /**
     * The key is new; the claim must be durable before the request is sent.
     *
     * @param event claim to write
     */
    record Claimed(ClaimMade event) implements ClaimResult {}

    /**
     * The request has run, or its outcome is unknown for good.
     *
     * @param outcome stored outcome
     */
    record Settled(ClaimSettled outcome) implements ClaimResult {}

    /** A request with this key is being executed. */
    record InProgress() implements ClaimResult {}

    /** The key was used for a request with another body. */
    record BodyMismatch() implements ClaimResult {}

    /** The key is older than the time for which keys are kept. */
    record Expired() implements ClaimResult {}

    /**
     * No further key can be kept at present.
     *
     * @param retryAfterMillis time until the oldest key may be forgotten
     */
    record Full(long retryAfterMillis) implements ClaimResult {}
}
