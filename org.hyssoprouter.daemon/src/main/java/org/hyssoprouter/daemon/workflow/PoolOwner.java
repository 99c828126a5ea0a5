package org.hyssoprouter.daemon.workflow;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.daemon.ownership.SingleThreadExecutor;
import org.hyssoprouter.internal.workflow.InterferencePair;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.RoundLimits;
import org.hyssoprouter.internal.workflow.RunLossCause;
import org.hyssoprouter.internal.workflow.SchedulerOutput;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/** Owns all pools until ownership is lost: restores their state, then schedules, on one thread. */
final class PoolOwner implements Service {
    private static final EventLogger LOG = EventLogger.of(PoolOwner.class);
    private static final long TICK_MILLIS = 50;
    private static final long READ_WAIT_MILLIS = 1_000;

    /** The published load is as old as the last read of the jobs. */
    private static final long JOB_READ_WAIT_MILLIS = 300;

    private static final long JOB_READ_PAUSE_MILLIS = 10;
    private static final long WORKER_READ_PAUSE_MILLIS = 200;
    private static final long STOP_TIMEOUT_MILLIS = 500;

    private final PoolOwnershipListener mListener;
    private final SerialExecutor mThread = new SingleThreadExecutor("pool-owner");
    private final PoolScheduler mScheduler;
    private final OwnerCommitter mCommitter;
    private final OwnerLoadMonitor mLoadMonitor;
    private final DecisionLogger mDecisionLogger;
    private final WorkerPoller mWorkerPoller;
    private final RunDispatcher mRunDispatcher;
    private final ApprovalDispatcher mApprovalDispatcher;
    private final RoundLimiter mRoundLimiter;
    private final TableFollower mRunFollower;
    private final TableFollower mJobFollower;
    private final TableFollower mWorkerFollower;
    private final AcceptedWorkflows mWorkflows;
    private final MonotonicClock mClock;
    private final Clock mTimeOfDay;
    private final StoreClock mStoreClock;
    private final FinishedWorkflowCompactor mCompactor;
    private final OpeningGuard mOpeningGuard;
    private volatile boolean mPlacing;
    private boolean mRunsRead;
    private boolean mWorkersRead;
    private boolean mJobFollowerStarted;
    private boolean mRoundScheduled;
    private long mNextRoundMillis;
    private boolean mClosed;
    private boolean mReleasing;

    /** Interfaces of an owner. */
    record Ports(
            PartitionTable table,
            TaskRunner runner,
            WorkerSource workers,
            MemberRegistry members,
            ApprovalDispatcher.ApprovalTransport approvals,
            MonotonicClock clock,
            Clock timeOfDay,
            StoreClock storeClock,
            WorkflowMeters meters) {}

    PoolOwner(Ports ports, WorkflowSettings settings, PoolOwnershipListener listener) {
        mListener = listener;
        mClock = ports.clock();
        mTimeOfDay = ports.timeOfDay();
        mStoreClock = ports.storeClock();
        mScheduler = new PoolScheduler(settings.limits(), mClock.millis());
        ComponentListener events = new ComponentListener();
        mLoadMonitor = new OwnerLoadMonitor(mClock, ports.meters());
        mDecisionLogger = new DecisionLogger(ports.meters());
        PoolOwnershipConfirmation confirmation = new PoolOwnershipConfirmation(mClock, mTimeOfDay);
        mCommitter =
                new OwnerCommitter(
                        ports.table(),
                        mScheduler,
                        mThread,
                        mClock,
                        events,
                        confirmation,
                        mLoadMonitor,
                        settings.maxRowBytes());
        mWorkflows =
                new AcceptedWorkflows(
                        mScheduler,
                        mCommitter.changes(),
                        new EarlyCancels(ports.table(), mThread, mClock, mStoreClock),
                        mThread,
                        mClock,
                        mStoreClock,
                        events);
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
                        mScheduler,
                        ports.runner(),
                        mThread,
                        mClock,
                        events,
                        confirmation::isConfirmed,
                        mLoadMonitor);
        mApprovalDispatcher =
                new ApprovalDispatcher(
                        ports.members(),
                        ports.approvals(),
                        mScheduler,
                        mThread,
                        mClock,
                        this::scheduleRound,
                        ports.meters(),
                        mLoadMonitor);
        mRoundLimiter = new RoundLimiter(mCommitter, mRunDispatcher, mApprovalDispatcher);
        mRunFollower =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subscription(
                                Schema.RUNS, List.of(Schema.POOLS_PARTITION), READ_WAIT_MILLIS, 0),
                        new FormerRunReader(this::onFormerRowsRead));
        mJobFollower = followJobs(ports.table(), mWorkflows);
        mOpeningGuard = new OpeningGuard(mClock, mCommitter, ports.meters(), this::releaseNow);
        mCompactor = new FinishedWorkflowCompactor(ports.table(), mThread, mClock);
        mWorkerFollower = followWorkers(ports, settings);
    }

    private static TableFollower followJobs(PartitionTable table, JobRowReader.Listener workflows) {
        return new TableFollower(
                table,
                new TableFollower.Subscription(
                        Schema.JOBS,
                        Schema.jobPartitions(),
                        JOB_READ_WAIT_MILLIS,
                        JOB_READ_PAUSE_MILLIS),
                new JobRowReader(workflows));
    }

    private TableFollower followWorkers(Ports ports, WorkflowSettings settings) {
        return new TableFollower(
                ports.table(),
                new TableFollower.Subscription(
                        ports.workers().table(),
                        List.of(""),
                        READ_WAIT_MILLIS,
                        WORKER_READ_PAUSE_MILLIS),
                new WorkerListReader(
                        ports.workers(),
                        mThread,
                        settings.heartbeatMillis(),
                        new WorkerChangeListener()));
    }

    /** Starts with the row by which this daemon became owner. */
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
        mThread.scheduleWithFixedDelay(this::tick, TICK_MILLIS);
    }

    @Override
    public void stop() {
        mThread.execute(this::close);
        mThread.shutdown(STOP_TIMEOUT_MILLIS);
    }

    /** Releases the ownership once all decisions so far are durable; makes no new ones. */
    void release() {
        mThread.execute(this::releaseNow);
    }

    private void releaseNow() {
        if (!mClosed) {
            mReleasing = true;
            mPlacing = false;
            mWorkerPoller.stop();
            mCommitter.release();
        }
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
        mWorkerPoller.stop();
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
        mScheduler.setStoreOffset(mStoreClock.offset());
        mOpeningGuard.releaseIfOverdue();
        mApprovalDispatcher.pingMembers();
        mCompactor.compactIfDue();
        if (mPlacing) {
            mScheduler.tick(mClock.millis(), mTimeOfDay.millis());
            mWorkflows.deleteExpiredCancels();
        }
        runRound();
        measureLoad();
    }

    private void measureLoad() {
        mLoadMonitor.recordUncommittedWorkflows(mCommitter.uncommittedWorkflowCount());
        mLoadMonitor.recordAcceptedAge(mCommitter.changes().acceptedAgeMillis());
        if (mLoadMonitor.isLogDue()) {
            mLoadMonitor.recordOverload(mScheduler.output().takeOverloadCounts());
        }
        mLoadMonitor.logIfDue(mCommitter.epoch(), mScheduler.waitingStepCount());
        long queuedMillis = mClock.millis();
        mThread.execute(() -> mLoadMonitor.recordQueueDelay(mClock.millis() - queuedMillis));
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

    /** Returns the pairs of kinds of tasks that are believed to slow each other down. */
    CompletableFuture<List<InterferencePair>> believedInterference() {
        return CompletableFuture.supplyAsync(mScheduler::believedInterference, mThread);
    }

    private void runScheduledRound() {
        mRoundScheduled = false;
        runRound();
    }

    private void runRound() {
        if (mClosed) {
            return;
        }
        RoundLimits limits = mRoundLimiter.next();
        if (mPlacing && mClock.millis() >= mNextRoundMillis && limits.allowRuns()) {
            long startNanos = System.nanoTime();
            mScheduler.place(limits, mClock.millis());
            long durationNanos = System.nanoTime() - startNanos;
            mLoadMonitor.recordRound(durationNanos);
            mNextRoundMillis = mClock.millis() + RoundPause.millisAfter(durationNanos);
        }
        SchedulerOutput output = mScheduler.output();
        output.takeStops().forEach(stop -> mRunDispatcher.sendStop(stop, mCommitter.epoch()));
        mApprovalDispatcher.enqueue(output.takeApprovalRequests());
        mDecisionLogger.log(output);
        mApprovalDispatcher.dispatch();
        mCommitter.commitIfDue();
        mWorkerPoller.pollDueWorkers();
    }

    private void startJobFollowerIfReady() {
        if (!mJobFollowerStarted && mRunsRead && mWorkersRead) {
            mJobFollowerStarted = true;
            mScheduler.setStoreOffset(mStoreClock.offset());
            mJobFollower.start();
        }
    }

    private void startPlacement() {
        if (mPlacing || mClosed || mReleasing) {
            return;
        }
        mPlacing = true;
        mWorkflows.deleteLeftovers();
        mCommitter.changes().openLoad();
        mOpeningGuard.onOpened();
        long millis = mClock.millis() - mScheduler.ownershipStartMillis();
        LOG.log(
                LogEvent.POOLS_OPENED,
                mCommitter.epoch(),
                mScheduler.workflowCount(),
                millis,
                mScheduler.queued().counts().values().stream().mapToInt(it -> it).sum(),
                mScheduler.queued().unsettledCount());
        mWorkerPoller.start();
        scheduleRound();
    }

    private void onFormerRowsRead(Map<String, FormerWorkflow> workflows) {
        mRunFollower.stop();
        mThread.execute(
                () -> {
                    mWorkflows.putFormer(workflows);
                    mRunsRead = true;
                    startJobFollowerIfReady();
                });
    }

    /** Passes changes of the worker list to the scheduler. */
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
            mScheduler.handleWorkerLeft(worker, RunLossCause.LEFT, mClock.millis());
            scheduleRound();
        }

        @Override
        public void onReadFinished(Set<String> ids) {
            mWorkersRead = true;
            mScheduler.retainListed(ids, mClock.millis());
            startJobFollowerIfReady();
        }
    }

    /** Handles the events of the classes that the owner consists of. */
    private final class ComponentListener
            implements OwnerCommitter.Listener,
                    WorkerPoller.Listener,
                    RunDispatcher.Listener,
                    AcceptedWorkflows.Listener {
        @Override
        public void onWorkflowsChanged() {
            scheduleRound();
        }

        @Override
        public void onWorkflowsRead() {
            if (!mPlacing) {
                mThread.execute(PoolOwner.this::startPlacement);
            }
        }

        @Override
        public void onStartsDurable(List<TaskStart> starts) {
            starts.forEach(start -> mRunDispatcher.sendStart(start, mCommitter.epoch()));
            scheduleRound();
        }

        @Override
        public void onStatesDurable(Map<String, WorkflowStatus> states) {
            mListener.onStatesDurable(states);
            states.forEach(
                    (id, status) -> {
                        if (status.state().isFinal()) {
                            mCompactor.add(id, status.workspace());
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
        public void onCommitsRefused() {
            mListener.onCommitsRefused(PoolOwner.this);
        }

        @Override
        public void onReleased() {
            PoolOwner.this.onOwnershipLost("released");
        }
    }
}
