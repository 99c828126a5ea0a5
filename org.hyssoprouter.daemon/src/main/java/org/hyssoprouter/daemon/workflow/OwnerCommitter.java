package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Makes the owner's decisions durable, one transaction at a time. Each checks and rewrites the
 * owner's row, so that it is heartbeat, fence and number of the commit in one: a transaction whose
 * answer was lost can be made again, and one that is carried out late fails its check.
 */
final class OwnerCommitter {
    /** Time after which an owner without changes commits all the same; rivals watch for it. */
    static final long HEARTBEAT_MILLIS = 400;

    /** Time between two publications of the load. */
    static final long LOAD_INTERVAL_MILLIS = 500;

    /** Two rows each, and the owner's and the load's; the store takes 100 in a transaction. */
    private static final int MAX_WORKFLOWS_PER_COMMIT = 45;

    private static final long RETRY_DELAY_MILLIS = 100;

    /** Time between two lines on commits that are made again. */
    private static final long RETRY_LOG_INTERVAL_MILLIS = 1_000;

    private static final EventLogger LOG = EventLogger.of(OwnerCommitter.class);

    private final PartitionTable mTable;
    private final PoolScheduler mScheduler;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Listener mListener;
    private final WorkflowMeters mMeters;
    private final Set<String> mChangedIds = new LinkedHashSet<>();
    private final Map<String, WorkflowState> mPublishedStates = new HashMap<>();
    private final Map<String, PoolScheduler.ProcessedEnds> mDurableEnds = new HashMap<>();
    private List<TaskStart> mPendingStarts = new ArrayList<>();
    private OwnerRow mRow;
    private long mVersion;
    private boolean mCommitInFlight;
    private boolean mClosed;
    private boolean mReleasing;
    private long mLastCommitMillis;
    private long mLoadPublishedMillis;
    private long mRetryLoggedMillis;
    private Map<String, Integer> mPublishedLoad = Map.of();

    /** Hears of what is durable. All calls come from the owner's thread. */
    interface Listener {
        /** The rows of these starts are durable. */
        void onStartsDurable(List<TaskStart> starts);

        /** The states are durable. */
        void onStatesDurable(Map<String, WorkflowState> states);

        /** Ends of workers have become durable. */
        void onEndsDurable();

        /** Another daemon is owner. */
        void onOwnershipLost(String reason);

        /** The ownership was given up, and what was decided before is durable. */
        void onReleased();
    }

    /** Rows of one transaction and what waits for it. */
    private record CommitGroup(
            PartitionTable.Batch batch,
            OwnerRow row,
            List<TaskStart> starts,
            Map<String, WorkflowState> states,
            Map<String, PoolScheduler.ProcessedEnds> ends,
            long sentMillis) {}

    OwnerCommitter(
            PartitionTable table,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Listener listener,
            WorkflowMeters meters) {
        mMeters = meters;
        mTable = table;
        mScheduler = scheduler;
        mThread = thread;
        mClock = clock;
        mListener = listener;
        mRow = new OwnerRow("", "", "", 0, 0, false);
    }

    /** Begins with the row by which this daemon became owner. */
    void begin(OwnerRow row, long version) {
        mRow = row;
        mVersion = version;
        mLastCommitMillis = mClock.millis();
    }

    void close() {
        mClosed = true;
    }

    long epoch() {
        return mRow.epoch();
    }

    /** Returns the age of the last transaction that succeeded, from its sending. */
    long lastCommitAgeMillis() {
        return mClock.millis() - mLastCommitMillis;
    }

    /** Returns the highest end of a worker's present life that is durable here. */
    long durableEndSequence(String workerId) {
        PoolScheduler.ProcessedEnds seen = mScheduler.processedEnds(workerId);
        PoolScheduler.ProcessedEnds durable = mDurableEnds.get(workerId);
        if (durable == null || durable.incarnationMillis() != seen.incarnationMillis()) {
            return 0;
        }
        return durable.sequence();
    }

    void recordPublishedState(String id, WorkflowState state) {
        mPublishedStates.put(id, state);
    }

    /** Commits if anything waits and no transaction is open. */
    void commitIfDue() {
        collectEffects();
        boolean due = mClock.millis() - mLastCommitMillis >= HEARTBEAT_MILLIS;
        if (mCommitInFlight || mClosed || (mChangedIds.isEmpty() && !due && !mReleasing)) {
            return;
        }
        send(nextGroup());
    }

    // Ends count as durable with the rows of a group, which is why a group that is formed has to
    // know every workflow that they have changed.
    private void collectEffects() {
        mChangedIds.addAll(mScheduler.output().takeChangedWorkflows());
        mPendingStarts.addAll(mScheduler.output().takeStarts());
    }

    /** Gives the ownership up with the last transaction. */
    void release() {
        mReleasing = true;
        commitIfDue();
    }

    private CommitGroup nextGroup() {
        List<String> ids = new ArrayList<>();
        for (String id : mChangedIds) {
            if (ids.size() < MAX_WORKFLOWS_PER_COMMIT) {
                ids.add(id);
            }
        }
        mChangedIds.removeAll(ids);
        Set<String> included = Set.copyOf(ids);
        List<TaskStart> starts = new ArrayList<>();
        List<TaskStart> later = new ArrayList<>();
        for (TaskStart start : mPendingStarts) {
            (included.contains(start.task().step().workflow()) ? starts : later).add(start);
        }
        mPendingStarts = later;
        PartitionTable.Batch batch = new PartitionTable.Batch(Schema.POOLS_PARTITION);
        OwnerRow row =
                mReleasing && mChangedIds.isEmpty() ? mRow.releasingCommit() : mRow.nextCommit();
        batch.check(Schema.STATES, Schema.OWNER_KEY, mVersion);
        batch.put(Schema.STATES, Schema.OWNER_KEY, MessageCodec.encode(row));
        Map<String, WorkflowState> states = new HashMap<>();
        ids.forEach(id -> mScheduler.row(id).forEach(it -> putWorkflow(batch, id, it, states)));
        putLoad(batch);
        Map<String, PoolScheduler.ProcessedEnds> ends =
                mChangedIds.isEmpty() ? mScheduler.processedEnds() : Map.of();
        return new CommitGroup(batch, row, starts, states, ends, mClock.millis());
    }

    private void putWorkflow(
            PartitionTable.Batch batch,
            String id,
            WorkflowRow row,
            Map<String, WorkflowState> states) {
        batch.put(Schema.RUNS, id, MessageCodec.encode(row));
        if (mPublishedStates.put(id, row.state()) != row.state()) {
            batch.put(Schema.STATES, id, Schema.encodeState(row.state()));
            states.put(id, row.state());
        }
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
        CompletableFuture<Void> unused =
                mTable.commit(group.batch())
                        .thenAccept(result -> mThread.execute(() -> handleResult(group, result)));
    }

    private void handleResult(
            CommitGroup group,
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        String outcome = result.fold(failure -> failure.error().kind().name(), it -> "DONE");
        mMeters.recordCommit(outcome, mClock.millis() - group.sentMillis());
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
            mThread.schedule(() -> resend(group), RETRY_DELAY_MILLIS);
            return;
        }
        Option<PartitionTable.Entry> current = ownerEntry(failure.currentRows());
        boolean done = current.flatMap(this::decode).exists(group.row()::equals);
        if (done) {
            onCommitted(group, current.get().version());
        } else {
            mListener.onOwnershipLost("owner row is " + current.flatMap(this::decode));
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
                            mClock.millis()));
        }
    }

    private void onCommitted(CommitGroup group, long version) {
        mCommitInFlight = false;
        mRow = group.row();
        mVersion = version;
        mLastCommitMillis = group.sentMillis();
        if (mRow.released()) {
            mClosed = true;
            mListener.onReleased();
            return;
        }
        mDurableEnds.putAll(group.ends());
        mListener.onStartsDurable(group.starts());
        mListener.onStatesDurable(group.states());
        if (!group.ends().isEmpty()) {
            mListener.onEndsDurable();
        }
        commitIfDue();
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
