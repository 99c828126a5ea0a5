package org.hyssoprouter.errors;

/**
 * Reasons of a {@link Refusal}, each with its HTTP status.
 *
 * @since 0.1
 */
public enum RefusalCode {
    /** The input is malformed or out of range. */
    BAD_INPUT(400),
    /** No valid operator token. */
    UNAUTHORIZED(401),
    /** The job, customer, service or host does not exist. */
    NOT_FOUND(404),
    /** The id exists with different content, or the version is stale. */
    CONFLICT(409),
    /** The body is larger than the limit. */
    TOO_LARGE(413),
    /** The job can never run, or the quota can never allow it. */
    CANNOT_RUN(422),
    /** The idempotency key is older than the retention time of keys. */
    KEY_EXPIRED(422),
    /** The customer exceeds its rate limit, queue limit or retry budget. */
    OVER_LIMIT(429),
    /** The estimated wait exceeds the deadline. */
    OVERLOADED(503),
    /** The shard currently has no owner. */
    NO_OWNER(503),
    /** The table service cannot be reached and this work needs it. */
    TABLE_UNAVAILABLE(503),
    /** The daemon is stopping or has no configuration yet. */
    NOT_READY(503),
    /** The target failed before an answer was complete. */
    TARGET_FAILED(502),
    /** Several executors failed one after the other during this request. */
    EXECUTORS_LOST(502),
    /** The deadline passed. */
    TIMEOUT(504),
    /** A request with the same idempotency key is in progress. */
    IN_PROGRESS(409);

    private final int mHttpStatus;

    RefusalCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status of replies with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }
}
