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
    /** Region that the host is in. */
    REGION("region", Kind.NAME),
    /** Failure domain that the host is in. */
    DOMAIN("domain", Kind.NAME),
    /** Address of the HTTP API. */
    HTTP("http", Kind.ADDRESS),
    /** Address of the listener for other daemons. */
    PEER("peer", Kind.ADDRESS),
    /** Address of the platform's services. */
    PLATFORM("platform", Kind.ADDRESS),
    /** Token that operators' calls must carry. */
    OPERATOR_TOKEN("operatorToken", Kind.TOKEN),
    /** Time between two reads of the rows under {@code cell/}. */
    POLL_MILLIS("pollMillis", 1_000, 50, 10_000),
    /** Time without a change of its row after which a daemon counts as dead. */
    DEAD_AFTER_MILLIS("deadAfterMillis", 4_000, 200, 60_000),
    /**
     * Age of the last confirmation up to which an owner may act. Bounded, because who takes a shard
     * over waits for the leases that an owner could still renew in that time.
     */
    CONFIRM_MILLIS("confirmMillis", 2_000, 100, 2_000),
    /** Time for which journal events are gathered into one commit. */
    GROUP_MILLIS("groupMillis", 20, 1, 1_000),
    /** Timeout of one call to the platform. */
    PLATFORM_TIMEOUT_MILLIS("platformTimeoutMillis", 1_000, 50, 30_000),
    /** Timeout of one control call to an executor. */
    WORKER_TIMEOUT_MILLIS("workerTimeoutMillis", 2_000, 50, 30_000),
    /** Budget of table commits of this daemon. */
    TABLE_WRITES_PER_SECOND("tableWritesPerSecond", 25, 1, 10_000),
    /** Budget of the link to other regions. */
    REGION_LINK_BYTES_PER_SECOND("regionLinkBytesPerSecond", 250_000, 1_000, 1_000_000_000),
    /** Largest body of a call to the HTTP API. */
    MAX_BODY_BYTES("maxBodyBytes", 4_194_304, 1_024, 67_108_864),
    /** Threads that handle HTTP input and output. */
    HTTP_THREADS("httpThreads", 2, 1, 64),
    /** Time between becoming not ready and refusing, for the balancer to notice. */
    BALANCER_SECONDS("balancerSeconds", 2, 0, 60),
    /** Bound of a planned stop from its signal to the exit. */
    DRAIN_SECONDS("drainSeconds", 20, 1, 600);

    /** Form of a value. */
    public enum Kind {
        /** Letters, digits, dots, underscores and hyphens. */
        NAME,
        /** IP number and port. */
        ADDRESS,
        /** Secret text. */
        TOKEN,
        /** Whole number. */
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

    /** Returns the key in the file. */
    public String key() {
        return mKey;
    }

    /** Returns the form of its value. */
    public Kind kind() {
        return mKind;
    }

    /** Returns whether the file must have it. */
    public boolean isRequired() {
        return mKind != Kind.NUMBER;
    }

    /** Returns the value when the file does not have it; numbers only. */
    public long defaultValue() {
        return mDefault;
    }

    /** Returns whether a number is in range. */
    public boolean isInRange(long value) {
        return value >= mMin && value <= mMax;
    }

    /** Returns what a value must look like, for people. */
    public String expectation() {
        return switch (mKind) {
            case NAME -> "expected 1 to 64 letters, digits, '.', '_' or '-'";
            case ADDRESS -> "expected an IP number and a port, such as 10.0.0.7:8080";
            case TOKEN -> "expected a text of 8 or more characters";
            case NUMBER ->
                    String.format(Locale.ROOT, "expected a whole number from %d to %d", mMin, mMax);
        };
    }
}
