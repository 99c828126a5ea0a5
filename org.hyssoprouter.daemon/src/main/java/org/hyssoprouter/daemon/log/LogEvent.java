package org.hyssoprouter.daemon.log;

import java.lang.System.Logger.Level;
import java.util.List;

/**
 * All events that the daemon logs. A number is never used again; docs/EVENTS.md explains each.
 *
 * @since 0.1
 */
public enum LogEvent {
    /** The daemon serves. */
    DAEMON_STARTED(1001, Level.INFO, "daemon started", "name", "http", "peer"),
    /** A planned stop began. */
    STOP_BEGAN(1002, Level.INFO, "planned stop began", "name"),
    /** A planned stop ended. */
    STOP_ENDED(1003, Level.INFO, "planned stop ended", "name", "millis"),
    /** Shards were left for others to take over. */
    HANDOVER_INCOMPLETE(1004, Level.WARNING, "shards were not all handed over", "reason"),
    /** Another process runs under this daemon's name. */
    DAEMON_FENCED(1005, Level.ERROR, "a newer daemon uses this name", "name"),
    /** The daemon became owner of a shard. */
    SHARD_OWNED(2001, Level.INFO, "owns shard", "shard", "epoch"),
    /** The daemon is no longer owner of a shard. */
    SHARD_LOST(2002, Level.INFO, "no longer owns shard", "shard", "epoch", "reason"),
    /** Recovery of a shard failed and is tried again. */
    RECOVERY_FAILED(2003, Level.WARNING, "recovery failed", "shard", "epoch", "reason"),
    /** A shard's state is recovered and it runs here. */
    SHARD_OPENED(2004, Level.INFO, "shard open", "shard", "epoch", "events"),
    /** A version of the configuration came into force here. */
    CONFIG_APPLIED(3001, Level.INFO, "configuration in force", "version", "author"),
    /** The configuration's row cannot be read. */
    CONFIG_UNREADABLE(3002, Level.ERROR, "unreadable configuration, kept the former", "reason"),
    /** A row or message has an unexpected form. */
    ROW_UNREADABLE(4001, Level.ERROR, "unreadable row or message", "key", "reason"),
    /** A background task failed; it runs again. */
    TASK_FAILED(4002, Level.ERROR, "background task failed", "task", "reason");

    private static final String SEPARATOR = ",";

    private final int mNumber;
    private final Level mLevel;
    private final String mText;
    private final String mFields;

    LogEvent(int number, Level level, String text, String... fields) {
        mNumber = number;
        mLevel = level;
        mText = text;
        mFields = String.join(SEPARATOR, fields);
    }

    /** Returns the number, stable for programs. */
    public int number() {
        return mNumber;
    }

    /** Returns the level that it is logged at. */
    public Level level() {
        return mLevel;
    }

    /** Returns the text for people. */
    public String text() {
        return mText;
    }

    /** Returns the names of its fields, in order. */
    public List<String> fields() {
        return List.of(mFields.split(SEPARATOR));
    }
}
