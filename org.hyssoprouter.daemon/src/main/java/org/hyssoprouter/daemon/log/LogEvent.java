package org.hyssoprouter.daemon.log;

import java.lang.System.Logger.Level;
import java.util.List;

/**
 * Events that the daemon logs. Numbers are never reused; docs/EVENTS.md explains each event.
 *
 * @since 0.1
 */
public enum LogEvent {
    /** The daemon has started its services. */
    DAEMON_STARTED(1001, Level.INFO, "daemon started", "name", "http", "peer"),
    /** A planned stop has begun. */
    STOP_BEGAN(1002, Level.INFO, "planned stop began", "name"),
    /** A planned stop has ended. */
    STOP_ENDED(1003, Level.INFO, "planned stop ended", "name", "millis"),
    /** Some shards were not handed over at a planned stop; other daemons take them over later. */
    HANDOVER_INCOMPLETE(1004, Level.WARNING, "not all shards were handed over", "reason"),
    /** Another process with a newer incarnation runs under this daemon's name. */
    DAEMON_FENCED(1005, Level.ERROR, "a newer daemon uses this name", "name"),
    /** The daemon acquired the ownership of a shard. */
    SHARD_OWNED(2001, Level.INFO, "owns shard", "shard", "epoch"),
    /** The daemon released or lost the ownership of a shard. */
    SHARD_LOST(2002, Level.INFO, "no longer owns shard", "shard", "epoch", "reason"),
    /** Recovery of a shard failed and will be retried. */
    RECOVERY_FAILED(2003, Level.WARNING, "recovery failed", "shard", "epoch", "reason"),
    /** The state of a shard is recovered and this daemon schedules its work. */
    SHARD_OPENED(2004, Level.INFO, "shard open", "shard", "epoch", "events"),
    /** This daemon applied a version of the configuration. */
    CONFIG_APPLIED(3001, Level.INFO, "configuration applied", "version", "author"),
    /** The configuration row cannot be decoded; the previous configuration stays in force. */
    CONFIG_UNREADABLE(3002, Level.ERROR, "configuration unreadable, previous one kept", "reason"),
    /** A row or message cannot be decoded. */
    ROW_UNREADABLE(4001, Level.ERROR, "unreadable row or message", "key", "reason"),
    /** A background task failed; a periodic one runs again at its next interval. */
    TASK_FAILED(4002, Level.ERROR, "background task failed", "task", "reason"),
    /** A submitted workflow was stored. */
    WORKFLOW_ACCEPTED(5001, Level.INFO, "workflow accepted", "id", "queue", "millis", "config"),
    /** A submission was rejected or its outcome is unknown. */
    WORKFLOW_NOT_ACCEPTED(
            5002, Level.INFO, "workflow not accepted", "id", "queue", "verdict", "reason"),
    /** The cancellation of a workflow was stored. */
    WORKFLOW_CANCEL_STORED(5003, Level.INFO, "cancellation stored", "id", "state"),
    /** A query for the state of a workflow returned no state. */
    WORKFLOW_STATE_UNKNOWN(5004, Level.INFO, "workflow state unknown", "id", "status", "reason"),
    /** The scheduler made a decision about a workflow, task or worker. */
    DECISION(5005, Level.INFO, "scheduling decision", "subject", "what", "inputs"),
    /** The order to start a run was sent to its worker. */
    RUN_START_SENT(5006, Level.INFO, "run start sent", "task", "run", "worker", "epoch"),
    /** A request to the approval service completed. */
    APPROVAL_ANSWERED(
            5007,
            Level.INFO,
            "approval reply received",
            "step",
            "named",
            "approved",
            "millis",
            "via"),
    /** A start was not sent because its task changed while the run's row was being committed. */
    RUN_START_WITHDRAWN(5008, Level.INFO, "run start withdrawn", "task", "run", "worker", "epoch"),
    /** A caller's call was forwarded to another daemon. */
    WORKFLOW_FORWARDED(5009, Level.INFO, "call forwarded to peer", "id", "kind", "peer", "answer"),
    /** A workflow has failed because its tasks crash workers. */
    WORKFLOW_GIVEN_UP(5010, Level.WARNING, "workflow given up", "id", "queue", "reason"),
    /** An attempt to deliver a start was not accepted, or was not the first one. */
    RUN_START_ATTEMPTED(
            5011, Level.INFO, "run start attempted", "task", "run", "worker", "attempt", "outcome"),
    /** The state of a workflow has outgrown one row and is divided from now on. */
    WORKFLOW_ROW_DIVIDED(5012, Level.INFO, "row of workflow divided", "id", "fromRow"),
    /** The checkpoints of some tasks are not stored, as their row would be too large. */
    CHECKPOINTS_NOT_STORED(5013, Level.WARNING, "checkpoints not stored", "key", "bytes"),
    /** The store refuses the rows of a workflow, and no task of it is placed for a while. */
    WORKFLOW_NOT_STORED(5014, Level.WARNING, "workflow held", "id", "certain", "withdrawn"),
    /** Rows of finished workflows could not be replaced by short markers. */
    COMPACTION_FAILED(5015, Level.INFO, "finished workflows not compacted", "rows", "reason"),
    /** The owner deletes cancellations of workflows that were never submitted. */
    EARLY_CANCELS_DELETED(
            5016, Level.INFO, "early cancellations deleted", "partition", "rows", "outcome"),
    /** A caller has asked for the number of waiting workflows of a queue. */
    QUEUE_COUNTED(
            5017,
            Level.INFO,
            "queue counted",
            "queue",
            "waiting",
            "ageMillis",
            "epoch",
            "readAgeMillis"),
    /** The owner publishes changed numbers of waiting workflows. */
    LOAD_PUBLISHED(
            5018,
            Level.INFO,
            "load published",
            "epoch",
            "waiting",
            "acceptedAgeMillis",
            "unsettled"),
    /** This daemon acquired the ownership of the pools. */
    POOLS_OWNED(5101, Level.INFO, "owns pools", "epoch", "former", "reason"),
    /** This daemon released or lost the ownership of the pools. */
    POOLS_LOST(5102, Level.INFO, "no longer owns pools", "epoch", "reason"),
    /** The state of the pools is recovered and placement begins. */
    POOLS_OPENED(
            5103, Level.INFO, "pools open", "epoch", "workflows", "millis", "waiting", "unsettled"),
    /** The owner row of the pools names a new owner or epoch. */
    POOL_OWNER_OBSERVED(5104, Level.INFO, "new pool owner observed", "owner", "epoch"),
    /** A commit of the owner failed and is retried. */
    COMMIT_RETRIED(5105, Level.WARNING, "commit retried", "epoch", "sequence", "reason"),
    /** A worker did not answer a poll. */
    WORKER_UNRESPONSIVE(5106, Level.INFO, "worker did not answer", "worker", "reason"),
    /** A worker that had not answered answers again. */
    WORKER_RECOVERED(5107, Level.INFO, "worker answers again", "worker"),
    /** Load of the owner in the past interval; delays and counts of workflows are maxima. */
    OWNER_LOAD(
            5108,
            Level.INFO,
            "owner load",
            "epoch",
            "queueMillis",
            "startMillis",
            "uncommitted",
            "waitingSteps",
            "rounds",
            "roundMillis",
            "pendingApprovals",
            "approvalMillis",
            "commits",
            "commitMillis",
            "starts",
            "acceptedAgeMillis"),
    /** The owner gives the pools up because their state could not be read in time. */
    POOLS_NOT_OPENED(5109, Level.WARNING, "pools not open in time", "epoch", "millis", "times"),
    /** The store refuses the owner's commits, and the owner asks other daemons to take over. */
    TAKEOVER_REQUESTED(5110, Level.WARNING, "takeover requested", "epoch", "peers"),
    /** A request to take over did not reach a daemon. */
    TAKEOVER_REQUEST_LOST(5111, Level.INFO, "takeover request lost", "peer", "reason"),
    /** The host of a silent owner of the pools refuses connections: its process has ended. */
    OWNER_ABSENT(5112, Level.INFO, "pool owner is absent", "owner", "epoch"),
    /** An entry of the worker list names no worker; it comes from another writer. */
    WORKER_ENTRY_IGNORED(5113, Level.WARNING, "worker entry ignored", "key", "bytes"),
    /**
     * The answer to a commit came so late that another daemon may be owner; the next one decides.
     */
    STARTS_WITHHELD(5114, Level.INFO, "starts withheld", "epoch", "sequence", "starts"),
    /** Preemptions of the past second, and steps for which no task was stopped, by cause. */
    OVERLOAD_HANDLED(5460, Level.INFO, "preemptions", "counts", "lostCoreSeconds"),
    /** The table store does not answer this daemon. */
    TABLE_UNREACHABLE(5201, Level.WARNING, "table store unreachable", "table", "reason"),
    /** The table store answers this daemon again. */
    TABLE_REACHABLE(5202, Level.INFO, "table store reachable again", "table", "version"),
    /** A kind of task is believed to slow down another one on the same worker. */
    INTERFERENCE_BELIEVED(
            5480,
            Level.INFO,
            "interference believed",
            "slowed",
            "beside",
            "factor",
            "lowest",
            "samples",
            "workers"),
    /** A kind of task is no longer believed to slow down another one. */
    INTERFERENCE_FORGOTTEN(
            5481, Level.INFO, "interference forgotten", "slowed", "beside", "factor"),
    /** This host has its first answer about the configuration. */
    CONFIG_SOURCE_CHOSEN(
            5420, Level.INFO, "configuration source chosen", "source", "rank", "hosts"),
    /** A version of the configuration was received. */
    CONFIG_RECEIVED(
            5421,
            Level.INFO,
            "configuration received",
            "version",
            "source",
            "kind",
            "bytes",
            "ageMillis"),
    /** This host gets the configuration from another source than before. */
    CONFIG_SOURCE_CHANGED(5422, Level.INFO, "configuration source changed", "from", "to", "reason"),
    /** Another host has sent an older version of the configuration, which was dropped. */
    OLDER_CONFIG_REFUSED(
            5423, Level.INFO, "older configuration refused", "version", "current", "source"),
    /** A source of the configuration did not answer or could not confirm a version. */
    CONFIG_SOURCE_FAILED(
            5424,
            Level.INFO,
            "configuration source failed",
            "source",
            "failures",
            "callMillis",
            "ageMillis",
            "reason"),
    /** Another daemon has registered as a member of the cell. */
    MEMBER_LISTED(5430, Level.INFO, "member listed", "name", "address", "members"),
    /** The row of another daemon was removed. */
    MEMBER_UNLISTED(5431, Level.INFO, "member no longer listed", "name", "members"),
    /** This daemon has removed the row of a member that is gone, or has tried to. */
    MEMBER_REMOVED(5432, Level.INFO, "member removed", "name", "incarnation", "reason", "outcome"),
    /** This daemon's row was removed though it lives; it is written again. */
    MEMBER_REGISTERED_AGAIN(5433, Level.INFO, "member registered again", "name", "incarnation"),
    /** This daemon leaves and has removed its row, or has tried to. */
    MEMBER_LEFT(5434, Level.INFO, "member left", "name", "outcome"),
    /** The settings file was reread after SIGHUP. */
    SETTINGS_RELOADED(5301, Level.INFO, "settings file reread", "file", "outcome"),
    /** A version of the configuration is invalid; the previous one stays in force. */
    CONFIG_REJECTED(
            5401,
            Level.ERROR,
            "configuration rejected, previous one kept",
            "version",
            "entry",
            "reason",
            "problems"),
    /** The API keys of a version of the configuration are in force on this daemon. */
    KEYS_APPLIED(
            5402,
            Level.INFO,
            "API keys applied",
            "version",
            "workspaces",
            "added",
            "removed",
            "examples"),
    /** Calls were refused because of their API keys. */
    KEY_REFUSED(
            5403, Level.INFO, "API key refused", "reason", "queue", "key", "config", "refusals"),
    /**
     * A call for a workflow of another workspace was answered as if there were no such workflow.
     */
    WORKFLOW_OF_OTHER_WORKSPACE(
            5404, Level.INFO, "workflow belongs to another workspace", "id", "workspace", "caller");

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

    /** Returns the number, which programs may match on. */
    public int number() {
        return mNumber;
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return mLevel;
    }

    /** Returns the human-readable text. */
    public String text() {
        return mText;
    }

    /** Returns the names of the event's fields, in order. */
    public List<String> fields() {
        return List.of(mFields.split(SEPARATOR));
    }
}
