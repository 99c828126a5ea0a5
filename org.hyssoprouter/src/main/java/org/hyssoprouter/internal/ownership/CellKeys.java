package org.hyssoprouter.internal.ownership;

/**
 * Keys of the table rows that every daemon polls, by default once per second.
 *
 * @since 0.1
 */
public final class CellKeys {
    /** Prefix of all these rows. */
    public static final String PREFIX = "cell/";

    /** Key of the configuration row. */
    public static final String CONFIG = PREFIX + "config";

    /** Prefix of the heartbeat rows. */
    public static final String DAEMON_PREFIX = PREFIX + "daemon/";

    /** Prefix of the ownership rows. */
    public static final String SHARD_PREFIX = PREFIX + "shard/";

    private CellKeys() {}

    /** Returns the key of a daemon's heartbeat row. */
    public static String daemon(String name) {
        return DAEMON_PREFIX + name;
    }

    /** Returns the key of a shard's row. */
    public static String shard(String name) {
        return SHARD_PREFIX + name;
    }
}
