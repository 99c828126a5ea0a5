package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Commits the owner's decisions, one transaction at a time. Each transaction checks and rewrites
 * the owner's row, which thus serves as heartbeat, fence and commit counter: a transaction whose
 * answer was lost can be retried, and one that is applied late fails its check.
 */
final class OwnerCommitter {
    /**
     * Time after which an owner without changes commits anyway; other daemons watch this heartbeat.
     */
    static final long HEARTBEAT_MILLIS = 400;

    private static final long RETRY_DELAY_MILLIS = 100;

    /** Failures of a commit after which one without changes is tried. */
    private static final int PROBE_FAILURES = 3;

    /** Interval between two log lines about retried commits. */
    private static final long RETRY_LOG_INTERVAL_MILLIS = 1_000;

    private static final EventLogger LOG = EventLogger.of(OwnerCommitter.class);

    private final PartitionTable mTable;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Listener mListener;
    private final OwnerLoadMonitor mLoadMonitor;
    private final PendingChanges mChanges;
    private final CommitRefusals mRefusals;
    private final PoolOwnershipConfirmation mConfirmation;

    /** Starts whose rows are durable, but which this daemon may no longer send. */
    private List<TaskStart> mUnconfirmedStarts = new ArrayList<>();

    /** Commit without changes that was last sent instead of one that failed. */
    private @Nullable CommitGroup mProbe;

    /** Failures of the commit in flight since it was first sent. */
    private int mFailureCount;

    /** Whether the store has said that it never takes the commit in flight. */
    private boolean mRejected;

    private OwnerRow mRow;
    private int mUnopenedCount;
    private long mVersion;
    private boolean mCommitInFlight;
    private int mStartsInFlightCount;
    private boolean mClosed;
    private boolean mReleasing;
    private long mLastCommitMillis;

    /** Time at which the last transaction was sent. */
    private long mSentMillis;

    /** Duration of the last successful transaction. */
    private long mLastDurationMillis;

    private long mRetryLoggedMillis;

    /** Receives the events of the commits. All calls come from the owner's thread. */
    interface Listener {
        /** The rows of these starts have become durable. */
        void onStartsDurable(List<TaskStart> starts);

        /** The states have become durable. */
        void onStatesDurable(Map<String, WorkflowStatus> states);

        /** Run ends reported by workers have become durable. */
        void onEndsDurable();

        /** Another daemon has become owner. */
        void onOwnershipLost(String reason);

        /** The store has refused the commits for a while. */
        void onCommitsRefused();

        /** The ownership has been released, and all earlier decisions are durable. */
        void onReleased();
    }

    /** One transaction with the owner's row that it writes. */
    private record CommitGroup(
            PendingChanges.Group changes, OwnerRow row, PoolOwnershipConfirmation.Moment sent) {
        long sentMillis() {
            return sent.monotonicMillis();
        }

        CommitGroup sentAt(PoolOwnershipConfirmation.Moment moment) {
            return new CommitGroup(changes, row, moment);
        }
    }

    OwnerCommitter(
            PartitionTable table,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Listener listener,
            PoolOwnershipConfirmation confirmation,
            OwnerLoadMonitor loadMonitor,
            int maxRowBytes) {
        mConfirmation = confirmation;
        mLoadMonitor = loadMonitor;
        mTable = table;
        mChanges = new PendingChanges(scheduler, clock, maxRowBytes);
        mRefusals = new CommitRefusals(clock);
        mThread = thread;
        mClock = clock;
        mListener = listener;
        mRow = new OwnerRow("", "", "", 0, 0, false);
    }

    /** Starts with the row by which this daemon became owner. */
    void begin(OwnerRow row, long version) {
        mRow = row;
        mUnopenedCount = row.unopenedCount();
        mVersion = version;
        mLastCommitMillis = mClock.millis();
        mConfirmation.onBegun();
    }

    void close() {
        mClosed = true;
    }

    long epoch() {
        return mRow.epoch();
    }

    /** Returns the number of ownerships in a row that were released before the pools were open. */
    int unopenedCount() {
        return mUnopenedCount;
    }

    /** Sets the count to write with the next commit. */
    void setUnopenedCount(int count) {
        mUnopenedCount = count;
    }

    /** Returns the time since the last successful transaction was sent, in milliseconds. */
    long lastCommitAgeMillis() {
        return mClock.millis() - mLastCommitMillis;
    }

    /**
     * Returns the highest durable sequence number of a run end in the worker's current incarnation,
     * or 0.
     */
    long durableEndSequence(String workerId) {
        return mChanges.durableEndSequence(workerId);
    }

    /** Returns the number of changed workflows that no commit includes yet. */
    int uncommittedWorkflowCount() {
        return mChanges.workflowCount();
    }

    /** Returns the changes that wait for a commit. */
    PendingChanges changes() {
        return mChanges;
    }

    /** Commits pending changes or a due heartbeat, unless a transaction is in flight. */
    void commitIfDue() {
        mChanges.collect();
        boolean due = mClock.millis() - mLastCommitMillis >= HEARTBEAT_MILLIS;
        boolean hasWork =
                !mChanges.isEmpty()
                        || mChanges.rows().hasLeftovers()
                        || !mUnconfirmedStarts.isEmpty()
                        || mReleasing;
        if (mCommitInFlight || mClosed || !(hasWork || due)) {
            return;
        }
        send(nextGroup());
    }

    /** Releases the ownership with the last transaction. */
    void release() {
        mReleasing = true;
        commitIfDue();
    }

    /**
     * Returns the number of further workflows whose starts the next commit can include. Runs that
     * are placed beyond it would be sent late, when their tickets may have expired.
     */
    int remainingStartingWorkflows() {
        return mChanges.remainingStartingWorkflows();
    }

    /**
     * Returns the time in which the commit in flight is still expected to have no result, from the
     * duration of the last one, in milliseconds; 0 if none is in flight.
     */
    long expectedCommitMillis() {
        return mCommitInFlight
                ? Math.max(0, mLastDurationMillis - (mClock.millis() - mSentMillis))
                : 0;
    }

    /** Returns the number of starts that wait for a commit or are part of the one in flight. */
    int uncommittedStartCount() {
        return mChanges.startCount() + mStartsInFlightCount + mUnconfirmedStarts.size();
    }

    private CommitGroup nextGroup() {
        mChanges.loadHold().forEach(mLoadMonitor::recordHeldLoad);
        PendingChanges.Group changes = mChanges.next();
        LoadRows.Due load = changes.load();
        if (!load.rows().isEmpty()) {
            mLoadMonitor.recordPublication(
                    epoch(),
                    load.waiting(),
                    mChanges.acceptedAgeMillis(),
                    mChanges.unsettledCount());
        }
        boolean releases = mReleasing && mChanges.isEmpty();
        return newGroup(changes, releases ? mRow.releasingCommit() : mRow.nextCommit());
    }

    /** Adds the check and the write of the owner's row to changes. */
    private CommitGroup newGroup(PendingChanges.Group changes, OwnerRow row) {
        long countedMillis = changes.load().countedMillis();
        boolean isUnchanged = countedMillis == LoadRows.Due.UNCHANGED;
        OwnerRow counted =
                row.withUnopenedCount(mUnopenedCount)
                        .withCountedMillis(isUnchanged ? row.countedMillis() : countedMillis);
        changes.batch().check(Schema.STATES, Schema.OWNER_KEY, mVersion);
        changes.batch().put(Schema.STATES, Schema.OWNER_KEY, MessageCodec.encode(counted));
        return new CommitGroup(changes, counted, mConfirmation.now());
    }

    private void send(CommitGroup group) {
        mCommitInFlight = true;
        if (group.row().released()) {
            mConfirmation.revoke();
        }
        mStartsInFlightCount = group.changes().starts().ready().size();
        mFailureCount = 0;
        call(group, group);
    }

    /**
     * Sends a commit, or a probe in its place.
     *
     * @param group commit to make
     * @param sent the commit or its probe
     */
    private void call(CommitGroup group, CommitGroup sent) {
        mSentMillis = mClock.millis();
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(sent.changes().batch()),
                                "commit",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(
                                result -> mThread.execute(() -> handleResult(group, sent, result)));
    }

    private void handleResult(
            CommitGroup group,
            CommitGroup sent,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        String outcome = result.fold(failure -> failure.error().kind().name(), it -> "DONE");
        mLoadMonitor.recordCommit(outcome, mClock.millis() - sent.sentMillis());
        if (mClosed) {
            return;
        }
        if (result.isRight()) {
            onCommitted(group, sent, result.get().version());
            return;
        }
        PartitionTable.CommitFailure failure = result.getLeft();
        if (failure.error().kind() != TableError.Kind.CONFLICT) {
            handleFailure(group, sent, failure.error());
            return;
        }
        Option<PartitionTable.Entry> current = ownerEntry(failure.currentRows());
        Option<OwnerRow> row = current.flatMap(this::decode);
        CommitGroup probe = mProbe;
        if (row.exists(group.row()::equals)) {
            onCommitted(group, group, current.get().version());
        } else if (probe != null && row.exists(probe.row()::equals)) {
            onCommitted(group, probe, current.get().version());
        } else {
            mListener.onOwnershipLost("owner row is now " + row);
        }
    }

    private void handleFailure(CommitGroup group, CommitGroup sent, TableError error) {
        logRetry(sent, error);
        boolean mayBeChanges = sent.equals(group) && group.changes().hasChanges();
        boolean rejected = error.kind() == TableError.Kind.REJECTED;
        // What the store says of the rows does not show how it treats this daemon.
        boolean counts = !(rejected && mayBeChanges);
        if (counts && mRefusals.onFailure(mClock.millis() - sent.sentMillis())) {
            mConfirmation.revoke();
            mListener.onCommitsRefused();
        }
        if (sent.equals(group)) {
            mFailureCount++;
            mRejected = rejected;
        }
        if (mayBeChanges && (rejected || mFailureCount >= PROBE_FAILURES)) {
            mThread.schedule(() -> sendProbe(group), rejected ? 0 : RETRY_DELAY_MILLIS);
        } else {
            mThread.schedule(() -> resend(group), RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Sends a commit of the owner's row only instead of one that failed. It shows whether the store
     * refuses the changes or all commits, and once it is durable, the one that it replaces is
     * certain to have no effect.
     */
    private void sendProbe(CommitGroup group) {
        if (mClosed) {
            return;
        }
        CommitGroup former = mProbe;
        // A repeat writes the same row, so that it is recognized if the former one takes effect.
        CommitGroup probe =
                former == null
                        ? newGroup(PendingChanges.Group.empty(), mRow.nextCommit().nextCommit())
                        : former.sentAt(mConfirmation.now());
        mProbe = probe;
        call(group, probe);
    }

    private void logRetry(CommitGroup group, TableError error) {
        long nowMillis = mClock.millis();
        if (nowMillis - mRetryLoggedMillis < RETRY_LOG_INTERVAL_MILLIS) {
            return;
        }
        mRetryLoggedMillis = nowMillis;
        LOG.log(
                LogEvent.COMMIT_RETRIED,
                group.row().epoch(),
                group.row().sequence(),
                error.message());
    }

    private void resend(CommitGroup group) {
        if (!mClosed) {
            CommitGroup again = group.sentAt(mConfirmation.now());
            call(again, again);
        }
    }

    /**
     * Handles that a commit is durable.
     *
     * @param group commit to make
     * @param durable the commit or its probe
     */
    private void onCommitted(CommitGroup group, CommitGroup durable, long version) {
        mCommitInFlight = false;
        mProbe = null;
        mRefusals.onSuccess();
        mStartsInFlightCount = 0;
        mRow = durable.row();
        mVersion = version;
        mLastCommitMillis = durable.sentMillis();
        mLastDurationMillis = mClock.millis() - durable.sentMillis();
        mConfirmation.onCommitted(durable.sent());
        if (mRow.released()) {
            mClosed = true;
            mListener.onReleased();
            return;
        }
        if (!durable.equals(group)) {
            mChanges.restoreRefused(group.changes(), mRejected);
        }
        PendingChanges.Group changes = durable.changes();
        mChanges.recordDurable(changes);
        deliverStarts(changes.starts().ready());
        mListener.onStatesDurable(changes.included().states());
        if (!changes.ends().isEmpty()) {
            mListener.onEndsDurable();
        }
        commitIfDue();
    }

    /**
     * Passes durable starts on, unless the answer came so late that another daemon may be owner by
     * now. Then the next commit decides, since it fails if there is one.
     */
    private void deliverStarts(List<TaskStart> starts) {
        mUnconfirmedStarts.addAll(starts);
        if (!mConfirmation.isConfirmed()) {
            LOG.log(LogEvent.STARTS_WITHHELD, mRow.epoch(), mRow.sequence(), starts.size());
            return;
        }
        List<TaskStart> confirmed = mUnconfirmedStarts;
        mUnconfirmedStarts = new ArrayList<>();
        mListener.onStartsDurable(confirmed);
    }

    private static Option<PartitionTable.Entry> ownerEntry(List<PartitionTable.Entry> entries) {
        for (PartitionTable.Entry entry : entries) {
            if (entry.key().name().equals(Schema.OWNER_KEY)) {
                return Option.some(entry);
            }
        }
        return Option.none();
    }

    private Option<OwnerRow> decode(PartitionTable.Entry entry) {
        byte[] value = entry.value();
        if (value == null) {
            return Option.none();
        }
        try {
            return Option.some(MessageCodec.decode(value, OwnerRow.class));
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, Schema.OWNER_KEY, e.getMessage());
            return Option.none();
        }
    }
}
