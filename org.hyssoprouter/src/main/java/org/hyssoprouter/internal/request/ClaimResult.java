package org.hyssoprouter.internal.request;

import org.hyssoprouter.internal.journal.ShardEvent.ClaimMade;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;

/**
 * Result of claiming an idempotency key at an {@link IdempotencyKeyStore}.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {
    /**
     * The key was free and is now claimed. The claim must be durable before the request is sent.
     *
     * @param event event to write to the journal
     */
    record Claimed(ClaimMade event) implements ClaimResult {}

    /**
     * An earlier request with the key has run, or its outcome will never be known.
     *
     * @param outcome stored outcome
     */
    record Settled(ClaimSettled outcome) implements ClaimResult {}

    /** A request with this key is in progress. */
    record InProgress() implements ClaimResult {}

    /** The key was used for a request with a different body. */
    record BodyMismatch() implements ClaimResult {}

    /** The key is older than the retention time of keys. */
    record Expired() implements ClaimResult {}

    /**
     * The store has reached its maximum number of keys.
     *
     * @param retryAfterMillis time in milliseconds after which to retry, when older keys may have
     *     been evicted
     */
    record Full(long retryAfterMillis) implements ClaimResult {}
}
