package org.hyssoprouter.daemon.workflow;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.daemon.ownership.SingleThreadExecutor;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerOutput;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/** One ownership of all pools: reads their state, then decides, on one thread, until it is lost. */
final class PoolOwner implements Service {
    private static final EventLogger LOG = EventLogger.of(PoolOwner.class);
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long CHANGES_WAIT_MILLIS = 1_000;
    private static final long JOB_READ_PAUSE_MILLIS = 10;
    private static final long WORKER_READ_PAUSE_MILLIS = 200;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    /** Least time between two rounds of placement; what arrives meanwhile shares the next one. */
    private static final long MIN_ROUND_PAUSE_MILLIS = 4;

    /** A round is followed by a pause of so many times its length, so that answers get through. */
    private static final long ROUND_PAUSE_FACTOR = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Ports mPorts;
    private final OwnershipListener mListener;
    private final SerialExecutor mThread = new SingleThreadExecutor("pool-owner");
    private final PoolScheduler mScheduler;
    private final OwnerCommitter mCommitter;
    private final WorkerPoller mWorkerPoller;
    private final RunDispatcher mRunDispatcher;
    private final ApprovalDispatcher mApprovalDispatcher;
    private final TableFollower mRunFollower;
    private final TableFollower mJobFollower;
    private final TableFollower mWorkerFollower;
    private final Map<String, WorkflowRow> mFormerRows = new HashMap<>();
    private final Set<String> mCancelledIds = new HashSet<>();
    private final MonotonicClock mClock;
    private final FinishedWorkflowCompactor mCompactor;
    private volatile boolean mPlacing;
    private boolean mRunsRead;
    private boolean mWorkersRead;
    private boolean mJobFollowerStarted;
    private boolean mRoundScheduled;
    private long mNextRoundMillis;
    private boolean mClosed;
    private boolean mReleasing;

    /** What an owner needs of the daemon. */
    record Ports(
            PartitionTable table,
            TaskRunner runner,
            WorkerSource workers,
            MemberRegistry members,
            ApprovalDispatcher.ApprovalTransport approvals,
            MonotonicClock clock,
            WorkflowMeters meters) {}

    /** Hears of the ownership. */
    interface OwnershipListener {
        /** States have become durable. */
        void onStatesDurable(Map<String, WorkflowState> states);

        /** The ownership is lost. */
        void onOwnershipLost(PoolOwner owner, String reason);
    }

    PoolOwner(Ports ports, WorkflowSettings settings, OwnershipListener ownership) {
        mPorts = ports;
        mListener = ownership;
        mClock = ports.clock();
        mScheduler = new PoolScheduler(settings.limits(), mClock.millis());
        ComponentListener events = new ComponentListener();
        mCommitter =
                new OwnerCommitter(
                        ports.table(), mScheduler, mThread, mClock, events, ports.meters());
        mWorkerPoller =
                new WorkerPoller(
                        mScheduler,
                        mCommitter,
                        ports.runner(),
                        mThread,
                        mClock,
                        settings.limits(),
                        events);
        mRunDispatcher =
                new RunDispatcher(
                        mScheduler, ports.runner(), mThread, mClock, events, ports.meters());
        mApprovalDispatcher =
                new ApprovalDispatcher(
                        ports.members(),
                        ports.approvals(),
                        mScheduler,
                        mThread,
                        mClock,
                        this::scheduleRound,
                        ports.meters());
        mRunFollower =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subscription(
                                Schema.RUNS,
                                List.of(Schema.POOLS_PARTITION),
                                CHANGES_WAIT_MILLIS,
                                0),
                        new RunRowListener());
        mJobFollower =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subscription(
                                Schema.JOBS,
                                Schema.jobPartitions(),
                                CHANGES_WAIT_MILLIS,
                                JOB_READ_PAUSE_MILLIS),
                        new JobRowListener());
        mCompactor = new FinishedWorkflowCompactor(ports.table(), mClock);
        mWorkerFollower =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subscription(
                                ports.workers().table(),
                                List.of(""),
                                CHANGES_WAIT_MILLIS,
                                WORKER_READ_PAUSE_MILLIS),
                        new WorkerListReader(
                                ports.workers(),
                                mThread,
                                settings.heartbeatMillis(),
                                new WorkerChangeListener()));
    }

    /** Begins with the row by which this daemon became owner. */
    void begin(OwnerRow row, long version, PoolConfig config) {
        mThread.execute(
                () -> {
                    mCommitter.begin(row, version);
                    mScheduler.configure(config);
                });
        start();
    }

    @Override
    public void start() {
        mRunFollower.start();
        mWorkerFollower.start();
        mThread.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MILLIS);
    }

    @Override
    public void stop() {
        mThread.execute(this::close);
        mThread.shutdown(STOP_TIMEOUT_MILLIS);
    }

    /** Gives the ownership up once what was decided is durable; decides nothing more. */
    void release() {
        mThread.execute(
                () -> {
                    if (!mClosed) {
                        mReleasing = true;
                        mPlacing = false;
                        mWorkerPoller.close();
                        mCommitter.release();
                    }
                });
    }

    /** Returns the epoch of this ownership. */
    long epoch() {
        return mCommitter.epoch();
    }

    void configure(PoolConfig config) {
        mThread.execute(
                () -> {
                    mScheduler.configure(config);
                    scheduleRound();
                });
    }

    private void close() {
        mClosed = true;
        mCommitter.close();
        mWorkerPoller.close();
        mRunDispatcher.close();
        mApprovalDispatcher.close();
        mRunFollower.stop();
        mJobFollower.stop();
        mWorkerFollower.stop();
    }

    private void onOwnershipLost(String reason) {
        if (mClosed) {
            return;
        }
        LOG.log(LogEvent.POOLS_LOST, mCommitter.epoch(), reason);
        close();
        mListener.onOwnershipLost(this, reason);
        mThread.shutdownNow();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        mApprovalDispatcher.pingMembers();
        mCompactor.compactIfDue();
        if (mPlacing) {
            mScheduler.tick(mClock.millis(), System.currentTimeMillis());
        }
        runRound();
    }

    private void scheduleRound() {
        if (!mRoundScheduled) {
            mRoundScheduled = true;
            long pauseMillis = mNextRoundMillis - mClock.millis();
            if (pauseMillis <= 0) {
                mThread.execute(this::runScheduledRound);
            } else {
                mThread.schedule(this::runScheduledRound, pauseMillis);
            }
        }
    }

    private void runScheduledRound() {
        mRoundScheduled = false;
        runRound();
    }

    private void runRound() {
        if (mClosed) {
            return;
        }
        if (mPlacing) {
            long startNanos = System.nanoTime();
            mScheduler.place(mClock.millis());
            long tookNanos = System.nanoTime() - startNanos;
            mPorts.meters().recordPlacementRound(tookNanos);
            long pauseMillis = ROUND_PAUSE_FACTOR * tookNanos / NANOS_PER_MILLI;
            mNextRoundMillis =
                    mClock.millis()
                            + Math.max(
                                    MIN_ROUND_PAUSE_MILLIS,
                                    Math.min(TICK_INTERVAL_MILLIS, pauseMillis));
        }
        SchedulerOutput effects = mScheduler.output();
        effects.takeStops().forEach(stop -> mRunDispatcher.sendStop(stop, mCommitter.epoch()));
        mApprovalDispatcher.enqueue(effects.takeApprovalRequests());
        effects.takeDecisions().forEach(this::logDecision);
        mApprovalDispatcher.dispatch();
        mCommitter.commitIfDue();
        mWorkerPoller.pollDueWorkers();
    }

    private void logDecision(SchedulerOutput.Decision decision) {
        mPorts.meters().recordDecision(decision.action());
        LOG.log(LogEvent.DECISION, decision.subject(), decision.action(), decision.inputs());
    }

    private void startJobFollowerIfReady() {
        if (!mJobFollowerStarted && mRunsRead && mWorkersRead) {
            mJobFollowerStarted = true;
            mJobFollower.start();
        }
    }

    private void startPlacement() {
        if (mPlacing || mClosed || mReleasing) {
            return;
        }
        mPlacing = true;
        long millis = mClock.millis() - mScheduler.ownershipStartMillis();
        LOG.log(LogEvent.POOLS_OPENED, mCommitter.epoch(), mScheduler.workflowCount(), millis);
        mWorkerPoller.open();
        scheduleRound();
    }

    /** Reads the former owner's rows once. */
    private final class RunRowListener implements TableFollower.Listener {
        private final Map<String, WorkflowRow> mRows = new HashMap<>();

        @Override
        public void onReset() {
            mRows.clear();
        }

        @Override
        public void onRow(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            if (value == null) {
                return;
            }
            try {
                mRows.put(entry.key().name(), MessageCodec.decode(value, WorkflowRow.class));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, entry.key().name(), e.getMessage());
            }
        }

        @Override
        public void onSynced(long version, long storeMillis) {
            Map<String, WorkflowRow> read = Map.copyOf(mRows);
            mRunFollower.stop();
            mThread.execute(
                    () -> {
                        mFormerRows.putAll(read);
                        mRunsRead = true;
                        startJobFollowerIfReady();
                    });
        }
    }

    /** Takes in accepted workflows and cancellations. */
    private final class JobRowListener implements TableFollower.Listener {
        @Override
        public void onSynced(long version, long storeMillis) {
            if (!mPlacing) {
                mThread.execute(PoolOwner.this::startPlacement);
            }
        }

        @Override
        public void onRow(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String key = entry.key().name();
            boolean over = value != null && Schema.isFinished(value) && !Schema.isCancelKey(key);
            if (value == null || over) {
                return;
            }
            if (Schema.isCancelKey(key)) {
                mThread.execute(() -> onWorkflowCancelled(Schema.workflowIdOfCancelKey(key)));
                return;
            }
            try {
                WorkflowSpec spec = MessageCodec.decode(value, WorkflowSpec.class);
                mThread.execute(() -> onWorkflowAccepted(spec));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
            }
        }
    }

    private void onWorkflowAccepted(WorkflowSpec spec) {
        WorkflowRow row = mFormerRows.remove(spec.id());
        if (row == null) {
            mScheduler.addWorkflow(spec, mClock.millis());
        } else {
            mCommitter.recordPublishedState(spec.id(), row.state());
            mScheduler.restoreWorkflow(spec, row, mClock.millis());
        }
        if (mCancelledIds.contains(spec.id())) {
            mScheduler.cancelWorkflow(spec.id(), mClock.millis());
        }
        scheduleRound();
    }

    private void onWorkflowCancelled(String id) {
        mCancelledIds.add(id);
        mScheduler.cancelWorkflow(id, mClock.millis());
        scheduleRound();
    }

    /** Takes in the list of workers. */
    private final class WorkerChangeListener implements WorkerListReader.Listener {
        @Override
        public void onListed(WorkerEntry worker) {
            mScheduler.updateWorker(worker, mClock.millis());
            scheduleRound();
        }

        @Override
        public void onUnlisted(String id) {
            mScheduler.markUnlisted(id);
        }

        @Override
        public void onDeparted(WorkerEntry worker) {
            mScheduler.handleWorkerLeft(worker, "worker has left", mClock.millis());
            scheduleRound();
        }

        @Override
        public void onReadFinished(Set<String> ids) {
            mWorkersRead = true;
            mScheduler.retainListed(ids);
            startJobFollowerIfReady();
        }
    }

    /** Connects the parts. */
    private final class ComponentListener
            implements OwnerCommitter.Listener, WorkerPoller.Listener, RunDispatcher.Listener {
        @Override
        public void onStartsDurable(List<TaskStart> starts) {
            starts.forEach(start -> mRunDispatcher.sendStart(start, mCommitter.epoch()));
        }

        @Override
        public void onStatesDurable(Map<String, WorkflowState> states) {
            mListener.onStatesDurable(states);
            states.forEach(
                    (id, state) -> {
                        if (state.isFinal()) {
                            mCompactor.add(id);
                        }
                    });
        }

        @Override
        public void onEndsDurable() {
            mWorkerPoller.onEndsDurable();
        }

        @Override
        public void onReportHandled() {
            scheduleRound();
        }

        @Override
        public void onAnswerHandled() {
            scheduleRound();
        }

        @Override
        public void onOwnershipLost(String reason) {
            PoolOwner.this.onOwnershipLost(reason);
        }

        @Override
        public void onReleased() {
            PoolOwner.this.onOwnershipLost("released");
        }
    }
}
