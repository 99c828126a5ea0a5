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
    private static final long TICK_MILLIS = 50;
    private static final long JOBS_WAIT_MILLIS = 1_000;
    private static final long JOBS_PAUSE_MILLIS = 10;
    private static final long WORKERS_PAUSE_MILLIS = 200;
    private static final long STOP_MILLIS = 500;

    /** Least time between two rounds of placement; what arrives meanwhile shares the next one. */
    private static final long ROUND_PAUSE_MILLIS = 4;

    /** A round is followed by a pause of so many times its length, so that answers get through. */
    private static final long PAUSE_ROUNDS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Ports mPorts;
    private final Ownership mOwnership;
    private final SerialExecutor mThread = new SingleThreadExecutor("pool-owner");
    private final PoolScheduler mScheduler;
    private final OwnerCommits mCommits;
    private final WorkerPolls mPolls;
    private final RunOrders mOrders;
    private final ApprovalDispatcher mApprovals;
    private final TableFollower mRows;
    private final TableFollower mJobs;
    private final TableFollower mWorkers;
    private final Map<String, WorkflowRow> mRestored = new HashMap<>();
    private final Set<String> mSeenCancels = new HashSet<>();
    private final MonotonicClock mClock;
    private final OverWorkflows mOver;
    private volatile boolean mOpen;
    private boolean mRowsRead;
    private boolean mWorkersRead;
    private boolean mJobsStarted;
    private boolean mPumping;
    private long mNextRoundMillis;
    private boolean mClosed;
    private boolean mReleasing;

    /** What an owner needs of the daemon. */
    record Ports(
            PartitionTable table,
            TaskRunner runner,
            WorkerSource workers,
            Members members,
            ApprovalDispatcher.ApprovalCalls approvals,
            MonotonicClock clock,
            WorkflowMeters meters) {}

    /** Hears of the ownership. */
    interface Ownership {
        /** States have become durable. */
        void shown(Map<String, WorkflowState> states);

        /** The ownership is lost. */
        void lost(PoolOwner owner, String reason);
    }

    PoolOwner(Ports ports, WorkflowSettings settings, Ownership ownership) {
        mPorts = ports;
        mOwnership = ownership;
        mClock = ports.clock();
        mScheduler = new PoolScheduler(settings.limits(), mClock.millis());
        Events events = new Events();
        mCommits =
                new OwnerCommits(
                        ports.table(), mScheduler, mThread, mClock, events, ports.meters());
        mPolls =
                new WorkerPolls(
                        mScheduler,
                        mCommits,
                        ports.runner(),
                        mThread,
                        mClock,
                        settings.limits(),
                        events);
        mOrders =
                new RunOrders(mScheduler, ports.runner(), mThread, mClock, events, ports.meters());
        mApprovals =
                new ApprovalDispatcher(
                        ports.members(),
                        ports.approvals(),
                        mScheduler,
                        mThread,
                        mClock,
                        this::pumpSoon,
                        ports.meters());
        mRows =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subject(
                                Tables.RUNS, List.of(Tables.POOLS), JOBS_WAIT_MILLIS, 0),
                        new RunRows());
        mJobs =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subject(
                                Tables.JOBS,
                                Tables.jobPartitions(),
                                JOBS_WAIT_MILLIS,
                                JOBS_PAUSE_MILLIS),
                        new JobRows());
        mOver = new OverWorkflows(ports.table(), mClock);
        mWorkers =
                new TableFollower(
                        ports.table(),
                        new TableFollower.Subject(
                                ports.workers().table(),
                                List.of(""),
                                JOBS_WAIT_MILLIS,
                                WORKERS_PAUSE_MILLIS),
                        new WorkerList(
                                ports.workers(),
                                mThread,
                                settings.heartbeatMillis(),
                                new Workers()));
    }

    /** Begins with the row by which this daemon became owner. */
    void begin(OwnerRow row, long version, PoolConfig config) {
        mThread.execute(
                () -> {
                    mCommits.begin(row, version);
                    mScheduler.configure(config);
                });
        start();
    }

    @Override
    public void start() {
        mRows.start();
        mWorkers.start();
        mThread.scheduleWithFixedDelay(this::tick, TICK_MILLIS);
    }

    @Override
    public void stop() {
        mThread.execute(this::close);
        mThread.shutdown(STOP_MILLIS);
    }

    /** Gives the ownership up once what was decided is durable; decides nothing more. */
    void release() {
        mThread.execute(
                () -> {
                    if (!mClosed) {
                        mReleasing = true;
                        mOpen = false;
                        mPolls.close();
                        mCommits.release();
                    }
                });
    }

    /** Returns the epoch of this ownership. */
    long epoch() {
        return mCommits.epoch();
    }

    void configure(PoolConfig config) {
        mThread.execute(
                () -> {
                    mScheduler.configure(config);
                    pumpSoon();
                });
    }

    private void close() {
        mClosed = true;
        mCommits.close();
        mPolls.close();
        mOrders.close();
        mApprovals.close();
        mRows.stop();
        mJobs.stop();
        mWorkers.stop();
    }

    private void lost(String reason) {
        if (mClosed) {
            return;
        }
        LOG.log(LogEvent.POOLS_LOST, mCommits.epoch(), reason);
        close();
        mOwnership.lost(this, reason);
        mThread.shutdownNow();
    }

    private void tick() {
        if (mClosed) {
            return;
        }
        mApprovals.ping();
        mOver.pump();
        if (mOpen) {
            mScheduler.tick(mClock.millis(), System.currentTimeMillis());
        }
        pump();
    }

    private void pumpSoon() {
        if (!mPumping) {
            mPumping = true;
            long pauseMillis = mNextRoundMillis - mClock.millis();
            if (pauseMillis <= 0) {
                mThread.execute(this::pumpNow);
            } else {
                mThread.schedule(this::pumpNow, pauseMillis);
            }
        }
    }

    private void pumpNow() {
        mPumping = false;
        pump();
    }

    private void pump() {
        if (mClosed) {
            return;
        }
        if (mOpen) {
            long startNanos = System.nanoTime();
            mScheduler.place(mClock.millis());
            long tookNanos = System.nanoTime() - startNanos;
            mPorts.meters().placed(tookNanos);
            long pauseMillis = PAUSE_ROUNDS * tookNanos / NANOS_PER_MILLI;
            mNextRoundMillis =
                    mClock.millis()
                            + Math.max(ROUND_PAUSE_MILLIS, Math.min(TICK_MILLIS, pauseMillis));
        }
        SchedulerOutput effects = mScheduler.output();
        effects.takeStops().forEach(stop -> mOrders.stop(stop, mCommits.epoch()));
        mApprovals.add(effects.takeApprovalRequests());
        effects.takeDecisions().forEach(this::report);
        mApprovals.pump();
        mCommits.pump();
        mPolls.pump();
    }

    private void report(SchedulerOutput.Decision decision) {
        mPorts.meters().decided(decision.action());
        LOG.log(LogEvent.DECISION, decision.subject(), decision.action(), decision.inputs());
    }

    private void readJobsIfRead() {
        if (!mJobsStarted && mRowsRead && mWorkersRead) {
            mJobsStarted = true;
            mJobs.start();
        }
    }

    private void open() {
        if (mOpen || mClosed || mReleasing) {
            return;
        }
        mOpen = true;
        long millis = mClock.millis() - mScheduler.ownershipStartMillis();
        LOG.log(LogEvent.POOLS_OPENED, mCommits.epoch(), mScheduler.workflowCount(), millis);
        mPolls.open();
        pumpSoon();
    }

    /** Reads the former owner's rows once. */
    private final class RunRows implements TableFollower.Listener {
        private final Map<String, WorkflowRow> mRead = new HashMap<>();

        @Override
        public void reset() {
            mRead.clear();
        }

        @Override
        public void row(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            if (value == null) {
                return;
            }
            try {
                mRead.put(entry.key().name(), MessageCodec.decode(value, WorkflowRow.class));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, entry.key().name(), e.getMessage());
            }
        }

        @Override
        public void synced(long version, long storeMillis) {
            Map<String, WorkflowRow> read = Map.copyOf(mRead);
            mRows.stop();
            mThread.execute(
                    () -> {
                        mRestored.putAll(read);
                        mRowsRead = true;
                        readJobsIfRead();
                    });
        }
    }

    /** Takes in accepted workflows and cancellations. */
    private final class JobRows implements TableFollower.Listener {
        @Override
        public void synced(long version, long storeMillis) {
            if (!mOpen) {
                mThread.execute(PoolOwner.this::open);
            }
        }

        @Override
        public void row(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String key = entry.key().name();
            boolean over = value != null && Tables.isOver(value) && !Tables.isCancel(key);
            if (value == null || over) {
                return;
            }
            if (Tables.isCancel(key)) {
                mThread.execute(() -> cancelled(Tables.idOfCancel(key)));
                return;
            }
            try {
                WorkflowSpec spec = MessageCodec.decode(value, WorkflowSpec.class);
                mThread.execute(() -> accepted(spec));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
            }
        }
    }

    private void accepted(WorkflowSpec spec) {
        WorkflowRow row = mRestored.remove(spec.id());
        if (row == null) {
            mScheduler.addWorkflow(spec, mClock.millis());
        } else {
            mCommits.known(spec.id(), row.state());
            mScheduler.restoreWorkflow(spec, row, mClock.millis());
        }
        if (mSeenCancels.contains(spec.id())) {
            mScheduler.cancelWorkflow(spec.id(), mClock.millis());
        }
        pumpSoon();
    }

    private void cancelled(String id) {
        mSeenCancels.add(id);
        mScheduler.cancelWorkflow(id, mClock.millis());
        pumpSoon();
    }

    /** Takes in the list of workers. */
    private final class Workers implements WorkerList.Listener {
        @Override
        public void listed(WorkerEntry worker) {
            mScheduler.updateWorker(worker, mClock.millis());
            pumpSoon();
        }

        @Override
        public void unlisted(String id) {
            mScheduler.markUnlisted(id);
        }

        @Override
        public void left(WorkerEntry worker) {
            mScheduler.handleWorkerLeft(worker, "worker has left", mClock.millis());
            pumpSoon();
        }

        @Override
        public void read(Set<String> ids) {
            mWorkersRead = true;
            mScheduler.retainListed(ids);
            readJobsIfRead();
        }
    }

    /** Connects the parts. */
    private final class Events
            implements OwnerCommits.Listener, WorkerPolls.Listener, RunOrders.Listener {
        @Override
        public void release(List<TaskStart> starts) {
            starts.forEach(start -> mOrders.start(start, mCommits.epoch()));
        }

        @Override
        public void shown(Map<String, WorkflowState> states) {
            mOwnership.shown(states);
            states.forEach(
                    (id, state) -> {
                        if (state.isFinal()) {
                            mOver.add(id);
                        }
                    });
        }

        @Override
        public void endsDurable() {
            mPolls.endsDurable();
        }

        @Override
        public void reported() {
            pumpSoon();
        }

        @Override
        public void answered() {
            pumpSoon();
        }

        @Override
        public void lost(String reason) {
            PoolOwner.this.lost(reason);
        }

        @Override
        public void released() {
            PoolOwner.this.lost("released");
        }
    }
}
