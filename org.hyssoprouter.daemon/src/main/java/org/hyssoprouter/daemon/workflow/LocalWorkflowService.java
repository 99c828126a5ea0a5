package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.LongConsumer;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Serves callers from the table store: stores workflows and cancellations without involving the
 * owner, and returns the states of workflows.
 */
final class LocalWorkflowService implements WorkflowService {
    private static final EventLogger LOG = EventLogger.of(LocalWorkflowService.class);
    private static final byte[] CANCELLED = {1};

    /**
     * Time after which a write is also made to the fallback partition: two slow transactions, as a
     * row may wait for the one before.
     */
    private static final long FALLBACK_DELAY_MILLIS = 1_300;

    private static final SubmitResult STORE_SLOW =
            SubmitResult.notRun("all partitions of the table store are slow", 1_000);

    /** Number of waiting workflows or age in the log if it is not known. */
    private static final int UNKNOWN = -1;

    /** Time within which a write has a result; callers wait for about 3 s. */
    static final long WRITE_LIMIT_MILLIS = 2_600;

    private final PartitionTable mTable;
    private final WorkflowStateCache mStates;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final WorkflowMeters mMeters;
    private final int mMaxRowBytes;
    private final SubmissionGate mGate;
    private final Map<String, JobWriter> mWriters = new HashMap<>();

    private final EarlyCancelLimiter mEarlyCancels;

    /** Duration of the last transaction with a result. */
    private volatile long mLastWriteMillis;

    /**
     * Interfaces that the service uses.
     *
     * @param maxRowBytes size of a row's value that the table accepts, in bytes
     */
    record Ports(
            PartitionTable table,
            SerialExecutor thread,
            MonotonicClock clock,
            WorkflowMeters meters,
            int maxRowBytes) {}

    LocalWorkflowService(Ports ports, WorkflowStateCache states, LongConsumer roundTripListener) {
        this(ports, states, roundTripListener, SubmissionGate.OPEN);
    }

    LocalWorkflowService(
            Ports ports,
            WorkflowStateCache states,
            LongConsumer roundTripListener,
            SubmissionGate gate) {
        mGate = gate;
        mTable = ports.table();
        mStates = states;
        mThread = ports.thread();
        mClock = ports.clock();
        mEarlyCancels = new EarlyCancelLimiter(mClock);
        mMeters = ports.meters();
        mMaxRowBytes = ports.maxRowBytes();
        LongConsumer listener =
                millis -> {
                    mLastWriteMillis = millis;
                    roundTripListener.accept(millis);
                };
        for (String partition : Schema.jobPartitions()) {
            mWriters.put(partition, new JobWriter(mTable, partition, mThread, mClock, listener));
        }
    }

    @Override
    public CompletableFuture<SubmitResult> submit(WorkflowSpec spec, long configVersion) {
        long startMillis = mClock.millis();
        Option<WorkflowStatus> known = mStates.statusOf(spec.id());
        if (known.isDefined()) {
            boolean repeated = isVisible(spec.id(), known.get().workspace(), spec.workspace());
            return CompletableFuture.completedFuture(
                    repeated ? SubmitResult.DONE : SubmitResult.ID_IN_USE);
        }
        Option<SubmitResult> refusal = mGate.refusalOf(spec);
        if (refusal.isDefined()) {
            return CompletableFuture.completedFuture(
                    recordResult(spec, refusal.get(), 0, configVersion));
        }
        WorkflowSpec accepted = spec.acceptedAt(mStates.storeClock().millis());
        byte[] row = Schema.encodeJob(accepted);
        if (row.length > mMaxRowBytes) {
            SubmitResult tooLarge =
                    SubmitResult.neverRuns(
                            "workflow: expected at most %d bytes compressed, found %d"
                                    .formatted(mMaxRowBytes, row.length));
            return CompletableFuture.completedFuture(
                    recordResult(spec, tooLarge, 0, configVersion));
        }
        return write(spec.id(), writer -> writer.write(spec.id(), row))
                .thenApply(
                        result ->
                                recordResult(
                                        spec,
                                        result,
                                        mClock.millis() - startMillis,
                                        configVersion));
    }

    private SubmitResult recordResult(
            WorkflowSpec spec, SubmitResult result, long millis, long configVersion) {
        mMeters.recordSubmission(spec.queue(), result.verdict().name(), millis);
        if (result.verdict() == Verdict.RAN) {
            recordAccepted(spec);
            LOG.log(LogEvent.WORKFLOW_ACCEPTED, spec.id(), spec.queue(), millis, configVersion);
        } else {
            LOG.log(
                    LogEvent.WORKFLOW_NOT_ACCEPTED,
                    spec.id(),
                    spec.queue(),
                    result.verdict(),
                    result.reason());
        }
        return result;
    }

    /** Returns the age of the oldest write in flight, in milliseconds; 0 if there is none. */
    long oldestWriteMillis() {
        return mWriters.values().stream().mapToLong(JobWriter::openMillis).max().orElse(0);
    }

    /** Returns whether this daemon knows a workflow that was accepted earlier. */
    boolean isKnown(String id) {
        return mStates.statusOf(id).isDefined();
    }

    /** Records that the row of a workflow is durable. */
    void recordAccepted(WorkflowSpec spec) {
        mStates.recordState(spec.id(), new WorkflowStatus(WorkflowState.PENDING, spec.workspace()));
    }

    /** Makes a write of a row of a workflow in one of its partitions. */
    private CompletableFuture<SubmitResult> write(
            String id, Function<JobWriter, CompletableFuture<SubmitResult>> write) {
        JobWriter writer = writerOf(Schema.jobPartition(id));
        JobWriter fallback = writerOf(Schema.fallbackJobPartition(id));
        return HedgedWrite.start(
                mThread,
                List.of(
                        new HedgedWrite.Attempt(0, () -> true, () -> write.apply(writer)),
                        new HedgedWrite.Attempt(
                                FALLBACK_DELAY_MILLIS,
                                () -> !isStoreSlow(),
                                () ->
                                        isStoreSlow()
                                                ? CompletableFuture.completedFuture(STORE_SLOW)
                                                : write.apply(fallback))),
                WRITE_LIMIT_MILLIS);
    }

    /** While all transactions are slow, a second one for the same row would slow all others. */
    private boolean isStoreSlow() {
        return mLastWriteMillis >= SubmissionGrouping.SLOW_MILLIS;
    }

    private JobWriter writerOf(String partition) {
        JobWriter writer = mWriters.get(partition);
        if (writer == null) {
            throw new IllegalStateException("partition " + partition + " has no job writer");
        }
        return writer;
    }

    @Override
    public CompletableFuture<StateResult> state(String id, String workspace) {
        Option<WorkflowStatus> cached = mStates.statusOf(id);
        boolean recent = mStates.isRecent();
        if (cached.exists(it -> recent || it.state().isFinal())) {
            return CompletableFuture.completedFuture(toStateResult(id, cached.get(), workspace));
        }
        CompletableFuture<StateResult> job =
                cached.isDefined()
                        ? CompletableFuture.completedFuture(StateResult.unknown())
                        : readState(id, workspace);
        return recent
                ? job
                : readPublishedState(id)
                        .thenCombine(job, (read, found) -> confirm(id, read, found, workspace));
    }

    /** Reads the state that the owner has published; returns whether the store has answered. */
    private CompletableFuture<Boolean> readPublishedState(String id) {
        return readRow(Schema.STATES, Schema.POOLS_PARTITION, id)
                .thenApply(read -> recordPublishedState(id, read));
    }

    private boolean recordPublishedState(String id, Either<TableError, PartitionTable.Page> read) {
        if (read.isLeft()) {
            LOG.log(LogEvent.WORKFLOW_STATE_UNKNOWN, id, "unknown", read.getLeft().message());
            return false;
        }
        try {
            for (PartitionTable.Entry entry : read.get().entries()) {
                byte[] value = entry.value();
                if (value != null) {
                    mStates.recordState(id, Schema.decodeState(value));
                }
            }
            return true;
        } catch (IllegalArgumentException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, id, e.getMessage());
            return false;
        }
    }

    /**
     * Returns the state of a workflow after reads of its published state and its job.
     *
     * @param read whether the published state is in the cache if there is one
     */
    private StateResult confirm(String id, boolean read, StateResult job, String workspace) {
        Option<WorkflowStatus> status = mStates.statusOf(id);
        if (status.isEmpty()) {
            return job;
        }
        StateResult result = toStateResult(id, status.get(), workspace);
        boolean certain = read || result.state().forAll(WorkflowState::isFinal);
        return certain ? result : StateResult.unknown();
    }

    private StateResult toStateResult(String id, WorkflowStatus status, String callerWorkspace) {
        return isVisible(id, status.workspace(), callerWorkspace)
                ? StateResult.of(status.state())
                : StateResult.absent();
    }

    private boolean isVisible(String id, String workspace, String callerWorkspace) {
        boolean visible = WorkflowStatus.isVisible(workspace, callerWorkspace);
        if (!visible) {
            mMeters.recordCallerRefusal("OTHER_WORKSPACE");
            LOG.log(LogEvent.WORKFLOW_OF_OTHER_WORKSPACE, id, workspace, callerWorkspace);
        }
        return visible;
    }

    private CompletableFuture<StateResult> readState(String id, String workspace) {
        return readState(id, Schema.jobPartition(id), workspace)
                .thenCompose(
                        own ->
                                own.state().isDefined()
                                        ? CompletableFuture.completedFuture(own)
                                        : readState(id, Schema.fallbackJobPartition(id), workspace)
                                                .thenApply(other -> combine(own, other)));
    }

    private static StateResult combine(StateResult own, StateResult fallback) {
        return own.known() || fallback.state().isDefined() ? fallback : own;
    }

    private CompletableFuture<StateResult> readState(
            String id, String partition, String workspace) {
        return readRow(Schema.JOBS, partition, id)
                .thenCompose(
                        read ->
                                read.exists(LocalWorkflowService::isMarkOfFinished)
                                        ? readFinalState(id, workspace)
                                        : CompletableFuture.completedFuture(
                                                toStateResult(id, read, workspace)));
    }

    private CompletableFuture<Either<TableError, PartitionTable.Page>> readRow(
            String table, String partition, String id) {
        return mTable.read(new PartitionTable.Range(table, partition, id, id + '\0', 1));
    }

    private static boolean isMarkOfFinished(PartitionTable.Page page) {
        byte[] value = valueOf(page);
        return value != null && Schema.isFinished(value);
    }

    /** Returns the value of the only row of a page, or null if there is no row or no value. */
    private static byte @Nullable [] valueOf(PartitionTable.Page page) {
        return page.entries().isEmpty() ? null : page.entries().get(0).value();
    }

    private StateResult toStateResult(
            String id, Either<TableError, PartitionTable.Page> read, String callerWorkspace) {
        if (read.isLeft()) {
            return logUnknown(id, read.getLeft().message());
        }
        if (read.get().entries().isEmpty()) {
            LOG.log(
                    LogEvent.WORKFLOW_STATE_UNKNOWN,
                    id,
                    "absent",
                    "version " + read.get().version());
            return StateResult.absent();
        }
        byte[] value = valueOf(read.get());
        if (value == null) {
            return logUnknown(id, "row without a value");
        }
        try {
            WorkflowStatus status =
                    new WorkflowStatus(WorkflowState.PENDING, Schema.workspaceOfJob(value));
            mStates.recordState(id, status);
            return toStateResult(id, mStates.statusOf(id).getOrElse(status), callerWorkspace);
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, id, e.getMessage());
            return StateResult.unknown();
        }
    }

    private static StateResult logUnknown(String id, String reason) {
        LOG.log(LogEvent.WORKFLOW_STATE_UNKNOWN, id, "unknown", reason);
        return StateResult.unknown();
    }

    /** Reads the state of a workflow whose row in the jobs table says only that it has finished. */
    private CompletableFuture<StateResult> readFinalState(String id, String workspace) {
        return readPublishedState(id)
                .thenApply(
                        read ->
                                mStates.statusOf(id)
                                        .filter(it -> it.state().isFinal())
                                        .map(it -> toStateResult(id, it, workspace))
                                        .getOrElse(() -> logUnknown(id, "finished, no state")));
    }

    @Override
    public CompletableFuture<CancelResult> cancel(String id, String workspace) {
        // The workspace of a known workflow does not change, so its state need not be read again.
        return mStates.statusOf(id).isDefined()
                ? cancel(id, workspace, StateResult.unknown())
                : state(id, workspace).thenCompose(read -> cancel(id, workspace, read));
    }

    private CompletableFuture<CancelResult> cancel(String id, String workspace, StateResult read) {
        // The row may have been stored since it was read, and the states tell so.
        Option<WorkflowStatus> status = mStates.statusOf(id);
        if (status.isDefined()) {
            return cancel(id, toStateResult(id, status.get(), workspace));
        }
        boolean isAbsent = read.known() && read.state().isEmpty();
        return isAbsent ? cancelEarly(id, workspace) : cancel(id, read);
    }

    /**
     * Cancels a workflow that has no row. Its submission may be under way at another daemon or in
     * the store, so that the cancellation must be durable before it is acknowledged.
     */
    private CompletableFuture<CancelResult> cancelEarly(String id, String workspace) {
        String key = Schema.earlyCancelKey(id, workspace);
        if (mEarlyCancels.isRepeat(key)) {
            return CompletableFuture.completedFuture(CancelResult.ABSENT);
        }
        if (!mEarlyCancels.tryWrite()) {
            LOG.log(LogEvent.WORKFLOW_CANCEL_STORED, id, "no row, too many cancellations");
            return CompletableFuture.completedFuture(CancelResult.UNKNOWN);
        }
        long nowMillis = mClock.millis();
        byte[] row =
                MessageCodec.encode(new EarlyCancelRow(workspace, mStates.storeClock().millis()));
        return write(id, writer -> writer.replace(key, row))
                .thenApply(
                        result -> {
                            LOG.log(
                                    LogEvent.WORKFLOW_CANCEL_STORED,
                                    id,
                                    "no row " + result.verdict() + " " + result.reason());
                            if (result.verdict() != Verdict.RAN) {
                                return CancelResult.UNKNOWN;
                            }
                            mEarlyCancels.recordWritten(key, nowMillis);
                            return CancelResult.ABSENT;
                        });
    }

    private CompletableFuture<CancelResult> cancel(String id, StateResult current) {
        if (!current.known()) {
            return CompletableFuture.completedFuture(CancelResult.UNKNOWN);
        }
        if (current.state().isEmpty()) {
            return CompletableFuture.completedFuture(CancelResult.ABSENT);
        }
        WorkflowState state = current.state().get();
        if (state.isFinal()) {
            return CompletableFuture.completedFuture(
                    state == WorkflowState.CANCELLED ? CancelResult.DONE : CancelResult.ABSENT);
        }
        return write(id, writer -> writer.write(Schema.cancelKey(id), CANCELLED))
                .thenApply(
                        result -> {
                            LOG.log(
                                    LogEvent.WORKFLOW_CANCEL_STORED,
                                    id,
                                    state + " " + result.verdict() + " " + result.reason());
                            return result.verdict() == Verdict.RAN
                                    ? CancelResult.DONE
                                    : CancelResult.UNKNOWN;
                        });
    }

    /** Returns whether a workflow is known to have finished. */
    boolean isFinished(String id) {
        return mStates.statusOf(id).exists(it -> it.state().isFinal());
    }

    @Override
    public Option<Integer> pending(String queue) {
        Option<QueueCount> count = mStates.countOf(queue);
        Option<QueueCount> answered = count.filter(QueueCount::isRecent);
        mMeters.countQueueCountCall(QueueCount.outcomeOf(count).name());
        count.forEach(it -> mMeters.recordQueueCountAge(answered.isDefined(), it.ageMillis()));
        LOG.log(
                LogEvent.QUEUE_COUNTED,
                queue,
                answered.map(QueueCount::waiting).getOrElse(UNKNOWN),
                count.map(QueueCount::ageMillis).getOrElse((long) UNKNOWN),
                count.map(QueueCount::epoch).getOrElse(0L),
                mStates.answerAgeMillis());
        return answered.map(QueueCount::waiting);
    }
}
