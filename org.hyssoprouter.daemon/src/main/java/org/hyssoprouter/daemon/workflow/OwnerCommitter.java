package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

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

    /** Interval between two publications of the load. */
    static final long LOAD_INTERVAL_MILLIS = 500;

    private static final long RETRY_DELAY_MILLIS = 100;

    /** Interval between two log lines about retried commits. */
    private static final long RETRY_LOG_INTERVAL_MILLIS = 1_000;

    private static final EventLogger LOG = EventLogger.of(OwnerCommitter.class);

    private final PartitionTable mTable;
    private final PoolScheduler mScheduler;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Listener mListener;
    private final OwnerLoadMonitor mLoadMonitor;
    private final Set<String> mChangedIds = new LinkedHashSet<>();
    private final CommitRows mRows;
    private final CommitRefusals mRefusals;
    private final PoolOwnershipConfirmation mConfirmation;
    private final Map<String, PoolScheduler.ProcessedEnds> mDurableEnds = new HashMap<>();
    private List<TaskStart> mPendingStarts = new ArrayList<>();

    /** Starts whose rows are durable, but which this daemon may no longer send. */
    private List<TaskStart> mUnconfirmedStarts = new ArrayList<>();

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

    private long mLoadPublishedMillis;
    private long mRetryLoggedMillis;
    private Map<String, Integer> mPublishedLoad = Map.of();

    /** Ends that become durable once the rows that they changed are written. */
    private Map<String, PoolScheduler.ProcessedEnds> mPendingEnds = Map.of();

    /** Workflows whose rows must be written before the pending ends are durable. */
    private final Set<String> mPendingEndIds = new HashSet<>();

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

    /** Rows of one transaction and the effects to apply once it is durable. */
    private record CommitGroup(
            PartitionTable.Batch batch,
            OwnerRow row,
            List<TaskStart> starts,
            Map<String, WorkflowStatus> states,
            Map<String, PoolScheduler.ProcessedEnds> ends,
            PoolOwnershipConfirmation.Moment sent) {
        long sentMillis() {
            return sent.monotonicMillis();
        }
    }

    OwnerCommitter(
            PartitionTable table,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Listener listener,
            PoolOwnershipConfirmation confirmation,
            OwnerLoadMonitor loadMonitor) {
        mConfirmation = confirmation;
        mLoadMonitor = loadMonitor;
        mTable = table;
        mScheduler = scheduler;
        mRows = new CommitRows(scheduler);
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
        PoolScheduler.ProcessedEnds processed = mScheduler.processedEnds(workerId);
        PoolScheduler.ProcessedEnds durable = mDurableEnds.get(workerId);
        if (durable == null || durable.incarnationMillis() != processed.incarnationMillis()) {
            return 0;
        }
        return durable.sequence();
    }

    /** Returns the number of changed workflows that no commit includes yet. */
    int uncommittedWorkflowCount() {
        return mChangedIds.size();
    }

    /** Records a state that the states table holds already. */
    void recordPublishedState(String id, WorkflowState state) {
        mRows.recordPublishedState(id, state);
    }

    /** Commits pending changes or a due heartbeat, unless a transaction is in flight. */
    void commitIfDue() {
        collectOutput();
        boolean due = mClock.millis() - mLastCommitMillis >= HEARTBEAT_MILLIS;
        boolean hasWork = !mChangedIds.isEmpty() || !mUnconfirmedStarts.isEmpty() || mReleasing;
        if (mCommitInFlight || mClosed || !(hasWork || due)) {
            return;
        }
        send(nextGroup());
    }

    // Ends count as durable with the rows that they have changed, so these must be known before the
    // processed ends are noted.
    private void collectOutput() {
        mChangedIds.addAll(mScheduler.output().takeChangedWorkflows());
        mPendingStarts.addAll(mScheduler.output().takeStarts());
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
        return Math.max(0, mRows.maxStartingWorkflows(mChangedIds) - startingWorkflows().size());
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
        return mPendingStarts.size() + mStartsInFlightCount + mUnconfirmedStarts.size();
    }

    private Set<String> startingWorkflows() {
        Set<String> ids = new LinkedHashSet<>();
        mPendingStarts.forEach(start -> ids.add(start.task().step().workflow()));
        return ids;
    }

    private CommitGroup nextGroup() {
        capturePendingEnds();
        PartitionTable.Batch batch = new PartitionTable.Batch(Schema.POOLS_PARTITION);
        Map<String, WorkflowStatus> states = new HashMap<>();
        Set<String> ids = mRows.put(batch, mChangedIds, startingWorkflows(), states);
        mChangedIds.removeAll(ids);
        List<TaskStart> starts = new ArrayList<>();
        List<TaskStart> deferred = new ArrayList<>();
        for (TaskStart start : mPendingStarts) {
            (ids.contains(start.task().step().workflow()) ? starts : deferred).add(start);
        }
        mPendingStarts = deferred;
        OwnerRow row =
                mReleasing && mChangedIds.isEmpty() ? mRow.releasingCommit() : mRow.nextCommit();
        row = row.withUnopenedCount(mUnopenedCount);
        batch.check(Schema.STATES, Schema.OWNER_KEY, mVersion);
        batch.put(Schema.STATES, Schema.OWNER_KEY, MessageCodec.encode(row));
        putLoad(batch);
        return new CommitGroup(
                batch, row, starts, states, takeWrittenEnds(ids), mConfirmation.now());
    }

    // While workflows change faster than they are written, some row is always left for the next
    // group. The ends of a fixed set of rows become durable all the same.
    private void capturePendingEnds() {
        if (mPendingEndIds.isEmpty()) {
            mPendingEndIds.addAll(mChangedIds);
            mPendingEnds = mScheduler.processedEnds();
        }
    }

    /** Returns the pending ends if a group with these workflows is the last that they need. */
    private Map<String, PoolScheduler.ProcessedEnds> takeWrittenEnds(Set<String> ids) {
        ids.forEach(mPendingEndIds::remove);
        return mPendingEndIds.isEmpty() ? mPendingEnds : Map.of();
    }

    private void putLoad(PartitionTable.Batch batch) {
        long nowMillis = mClock.millis();
        if (nowMillis - mLoadPublishedMillis < LOAD_INTERVAL_MILLIS) {
            return;
        }
        mLoadPublishedMillis = nowMillis;
        Map<String, Integer> load = mScheduler.pendingCounts();
        if (!load.equals(mPublishedLoad)) {
            mPublishedLoad = load;
            batch.put(Schema.STATES, Schema.LOAD_KEY, MessageCodec.encode(new LoadRow(load)));
        }
    }

    private void send(CommitGroup group) {
        mCommitInFlight = true;
        if (group.row().released()) {
            mConfirmation.revoke();
        }
        mSentMillis = mClock.millis();
        mStartsInFlightCount = group.starts().size();
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(group.batch()),
                                "commit",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(result -> mThread.execute(() -> handleResult(group, result)));
    }

    private void handleResult(
            CommitGroup group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        String outcome = result.fold(failure -> failure.error().kind().name(), it -> "DONE");
        mLoadMonitor.recordCommit(outcome, mClock.millis() - group.sentMillis());
        if (mClosed) {
            return;
        }
        if (result.isRight()) {
            onCommitted(group, result.get().version());
            return;
        }
        PartitionTable.CommitFailure failure = result.getLeft();
        if (failure.error().kind() != TableError.Kind.CONFLICT) {
            logRetry(group, failure.error());
            if (mRefusals.onFailure(mClock.millis() - group.sentMillis())) {
                mConfirmation.revoke();
                mListener.onCommitsRefused();
            }
            mThread.schedule(() -> resend(group), RETRY_DELAY_MILLIS);
            return;
        }
        Option<PartitionTable.Entry> current = ownerEntry(failure.currentRows());
        boolean applied = current.flatMap(this::decode).exists(group.row()::equals);
        if (applied) {
            onCommitted(group, current.get().version());
        } else {
            mListener.onOwnershipLost("owner row is now " + current.flatMap(this::decode));
        }
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
            send(
                    new CommitGroup(
                            group.batch(),
                            group.row(),
                            group.starts(),
                            group.states(),
                            group.ends(),
                            mConfirmation.now()));
        }
    }

    private void onCommitted(CommitGroup group, long version) {
        mCommitInFlight = false;
        mRefusals.onSuccess();
        mStartsInFlightCount = 0;
        mRow = group.row();
        mVersion = version;
        mLastCommitMillis = group.sentMillis();
        mLastDurationMillis = mClock.millis() - group.sentMillis();
        mConfirmation.onCommitted(group.sent());
        if (mRow.released()) {
            mClosed = true;
            mListener.onReleased();
            return;
        }
        mDurableEnds.putAll(group.ends());
        deliverStarts(group.starts());
        mListener.onStatesDurable(group.states());
        if (!group.ends().isEmpty()) {
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
