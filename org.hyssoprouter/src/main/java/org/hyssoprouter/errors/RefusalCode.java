package org.hyssoprouter.errors;

/**
 * Reasons of a {@link Refusal}, each with its HTTP status.
 *
 * @since 0.1
 */
public enum RefusalCode {
    /** Malformed or out of range. */
    BAD_INPUT(400),
    /** No valid operator token. */
    UNAUTHORIZED(401),
    /** No such job, customer, service or host. */
    NOT_FOUND(404),
    /** The id exists with other content, or the version is stale. */
    CONFLICT(409),
    /** The body is larger than the limit. */
    TOO_LARGE(413),
    /** The job can never run, or the quota can never allow it. */
    CANNOT_RUN(422),
    /** The idempotency key is older than the time for which keys are kept. */
    KEY_EXPIRED(422),
    /** The customer is over its rate, queue or retry budget. */
    OVER_LIMIT(429),
    /** The deadline cannot be met by the estimated wait. */
    OVERLOADED(503),
    /** No owner for the shard at present. */
    NO_OWNER(503),
    /** The table service cannot be reached and this work needs it. */
    TABLE_UNAVAILABLE(503),
    /** The daemon is stopping or has no configuration yet. */
    NOT_READY(503),
    /** The target failed before an answer was complete. */
    TARGET_FAILED(502),
    /** The deadline passed. */
    TIMEOUT(504),
    /** The same key is being executed now. */
    IN_PROGRESS(409);

    private final int mHttpStatus;

    RefusalCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status that carries this reason. */
    public int httpStatus() {
        return mHttpStatus;
    }
}
