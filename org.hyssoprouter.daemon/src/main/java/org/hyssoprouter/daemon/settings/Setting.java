package org.hyssoprouter.daemon.settings;

import java.util.Locale;

/**
 * Keys of the settings file, with defaults and ranges.
 *
 * @since 0.1
 */
public enum Setting {
    /** Name of the daemon, unique in the cell. */
    NAME("name", Kind.NAME),
    /** Region of the host. */
    REGION("region", Kind.NAME),
    /** Failure domain of the host. */
    DOMAIN("domain", Kind.NAME),
    /** Address of the HTTP API. */
    HTTP("http", Kind.ADDRESS),
    /** Address of the listener for other daemons. */
    PEER("peer", Kind.ADDRESS),
    /** Address of the platform's services. */
    PLATFORM("platform", Kind.ADDRESS),
    /** Token that authenticates operators' calls. */
    OPERATOR_TOKEN("operatorToken", Kind.TOKEN),
    /** Interval between reads of the rows under {@code cell/}. */
    POLL_MILLIS("pollMillis", 1_000, 50, 10_000),
    /** Time without a change of its row after which a daemon is considered dead. */
    DEAD_AFTER_MILLIS("deadAfterMillis", 4_000, 200, 60_000),
    /**
     * Maximum age of the last confirmation at which an owner may act. Bounded, because a daemon
     * that takes over a shard waits for the leases that the previous owner could renew in that
     * time.
     */
    CONFIRM_MILLIS("confirmMillis", 2_000, 100, 2_000),
    /** Time for which journal events are batched into one commit. */
    GROUP_MILLIS("groupMillis", 20, 1, 1_000),
    /** Timeout of one call to the platform. */
    PLATFORM_TIMEOUT_MILLIS("platformTimeoutMillis", 1_000, 50, 30_000),
    /** Timeout of one control call to an executor. */
    WORKER_TIMEOUT_MILLIS("workerTimeoutMillis", 2_000, 50, 30_000),
    /** Maximum rate of this daemon's table commits. */
    TABLE_WRITES_PER_SECOND("tableWritesPerSecond", 25, 1, 10_000),
    /** Maximum rate of bytes sent to daemons of other regions. */
    REGION_LINK_BYTES_PER_SECOND("regionLinkBytesPerSecond", 250_000, 1_000, 1_000_000_000),
    /** Maximum size of a request body at the HTTP API. */
    MAX_BODY_BYTES("maxBodyBytes", 4_194_304, 1_024, 67_108_864),
    /** Number of threads that handle HTTP I/O. */
    HTTP_THREADS("httpThreads", 2, 1, 64),
    /** Time between reporting not ready and refusing calls; the load balancer needs it to react. */
    BALANCER_SECONDS("balancerSeconds", 2, 0, 60),
    /** Maximum duration of a planned stop, from the signal to the exit. */
    DRAIN_SECONDS("drainSeconds", 20, 1, 600);

    /** Type of a setting's value. */
    public enum Kind {
        /** Letters, digits, dots, underscores and hyphens. */
        NAME,
        /** IP address and port. */
        ADDRESS,
        /** Secret string. */
        TOKEN,
        /** Integer. */
        NUMBER
    }

    private final String mKey;
    private final Kind mKind;
    private final long mDefault;
    private final long mMin;
    private final long mMax;

    Setting(String key, Kind kind) {
        mKey = key;
        mKind = kind;
        mDefault = 0;
        mMin = 0;
        mMax = 0;
    }

    Setting(String key, long defaultValue, long min, long max) {
        mKey = key;
        mKind = Kind.NUMBER;
        mDefault = defaultValue;
        mMin = min;
        mMax = max;
    }

    /** Returns the key in the settings file. */
    public String key() {
        return mKey;
    }

    /** Returns the type of the value. */
    public Kind kind() {
        return mKind;
    }

    /** Returns whether the file must contain the key. */
    public boolean isRequired() {
        return mKind != Kind.NUMBER;
    }

    /** Returns the value used when the file does not contain the key; numbers only. */
    public long defaultValue() {
        return mDefault;
    }

    /** Returns whether {@code value} is in the allowed range; numbers only. */
    public boolean isInRange(long value) {
        return value >= mMin && value <= mMax;
    }

    /** Returns a description of the allowed values for error messages. */
    public String expectation() {
        return switch (mKind) {
            case NAME -> "expected 1 to 64 letters, digits, '.', '_' or '-'";
            case ADDRESS -> "expected an IP address and a port, such as 10.0.0.7:8080";
            case TOKEN -> "expected a string of at least 8 characters";
            case NUMBER ->
                    String.format(Locale.ROOT, "expected a whole number from %d to %d", mMin, mMax);
        };
    }
}
