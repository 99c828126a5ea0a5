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
    TASK_FAILED(4002, Level.ERROR, "background task failed", "task", "reason"),
    /** A workflow was stored. */
    WORKFLOW_ACCEPTED(5001, Level.INFO, "workflow accepted", "id", "queue", "millis", "config"),
    /** A submission was turned away or its outcome is unknown. */
    WORKFLOW_NOT_ACCEPTED(
            5002, Level.INFO, "workflow not accepted", "id", "queue", "verdict", "reason"),
    /** A cancellation was stored. */
    WORKFLOW_CANCEL_STORED(5003, Level.INFO, "cancellation stored", "id", "state"),
    /** A question for a workflow's state was answered without its state. */
    WORKFLOW_STATE_UNKNOWN(5004, Level.INFO, "state not known", "id", "status", "reason"),
    /** A decision of the scheduler. */
    DECISION(5005, Level.INFO, "decision", "subject", "what", "inputs"),
    /** An order to start a run was sent. */
    RUN_START_SENT(5006, Level.INFO, "start sent", "task", "run", "worker", "epoch"),
    /** The approval service was asked. */
    APPROVAL_ANSWERED(
            5007, Level.INFO, "approval answered", "step", "named", "approved", "millis", "via"),
    /** A start was overtaken while its row was made durable. */
    RUN_START_WITHDRAWN(5008, Level.INFO, "start withdrawn", "task", "run", "worker", "epoch"),
    /** A caller's call was passed on to another daemon. */
    WORKFLOW_FORWARDED(5009, Level.INFO, "call passed on", "id", "kind", "peer", "answer"),
    /** This daemon became owner of the pools. */
    POOLS_OWNED(5101, Level.INFO, "owns pools", "epoch", "former", "reason"),
    /** This daemon is no longer owner of the pools. */
    POOLS_LOST(5102, Level.INFO, "no longer owns pools", "epoch", "reason"),
    /** The state of the pools was read and placement begins. */
    POOLS_OPENED(5103, Level.INFO, "pools open", "epoch", "workflows", "millis"),
    /** Another daemon owns the pools. */
    POOL_OWNER_OBSERVED(5104, Level.INFO, "owner seen", "owner", "epoch"),
    /** A commit of the owner failed and is made again. */
    COMMIT_RETRIED(5105, Level.WARNING, "commit made again", "epoch", "sequence", "reason"),
    /** A worker did not answer. */
    WORKER_UNRESPONSIVE(5106, Level.INFO, "worker silent", "worker", "reason"),
    /** A worker that did not answer does so again. */
    WORKER_RECOVERED(5107, Level.INFO, "worker answers again", "worker"),
    /** The table store does not answer this daemon. */
    TABLE_UNREACHABLE(5201, Level.WARNING, "table store lost", "table", "reason"),
    /** The table store answers this daemon again. */
    TABLE_REACHABLE(5202, Level.INFO, "table store back", "table", "version"),
    /** The settings file was read again. */
    SETTINGS_RELOADED(5301, Level.INFO, "settings read again", "file", "outcome");

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
