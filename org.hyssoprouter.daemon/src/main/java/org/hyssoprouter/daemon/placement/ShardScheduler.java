package org.hyssoprouter.daemon.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.placement.WorkerTracker.Renewal;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.LeaseTiming;
import org.hyssoprouter.internal.placement.QuotaLookup;
import org.hyssoprouter.internal.placement.WorkerLoad;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of one owned shard on its workers. Decisions are made in memory under the
 * shard's lock; calls to the journal and to workers are made after it is released, in the same
 * order.
 *
 * @since 0.1
 */
public final class ShardScheduler implements Service {
    private static final EventLogger LOGGER = EventLogger.of(ShardScheduler.class);
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long IDLE_POLL_MILLIS = 20;
    private static final int MAX_PLACEMENTS_PER_BATCH = 256;

    private final ShardContext mContext;
    private final HostDirectory mHosts;
    private final ConfigView mConfig;
    private final ScheduledExecutorService mTimer;
    private final JobScheduler mScheduler;
    private final WorkerTracker mWorkers;
    private final WorkerDispatcher mDispatcher;
    private final SchedulerLock mLock;
    private final JobRequestHandler mRequestHandler;
    private final AtomicBoolean mPlacementQueued = new AtomicBoolean();
    private volatile boolean mQuiesced;
    private volatile boolean mStopped;
    private long mHostRevision = -1;
    private volatile @Nullable ScheduledFuture<?> mTickTask;

    /**
     * Creates the scheduler of a shard in the daemon's own region, with the default lease timing.
     *
     * @param context shard, journal and ownership
     * @param history events since the shard's beginning, in order
     * @param workers client of the workers; a call must complete within the call timeout of the
     *     lease timing
     * @param hosts latest host list
     * @param config current configuration
     * @param clock wall clock, for the times shown to operators
     * @param monotonic clock for lease times
     * @param timer runs ticks and placements and completes replies
     */
    public ShardScheduler(
            ShardContext context,
            List<ShardEvent> history,
            WorkerClient workers,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer) {
        this(context, history, workers, hosts, config, clock, monotonic, timer, true);
    }

    /**
     * Creates the scheduler of a shard with the default lease timing.
     *
     * @param silenceProvesExpiry whether silence of a worker proves that its lease has expired;
     *     false in another region, because the worker may be cut off from this region while its
     *     former owner still reaches it
     */
    public ShardScheduler(
            ShardContext context,
            List<ShardEvent> history,
            WorkerClient workers,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer,
            boolean silenceProvesExpiry) {
        this(
                context,
                history,
                workers,
                hosts,
                config,
                clock,
                monotonic,
                timer,
                silenceProvesExpiry,
                LeaseTiming.defaults());
    }

    /**
     * Creates the scheduler of a shard.
     *
     * @param silenceProvesExpiry whether silence of a worker proves that its lease has expired;
     *     false in another region, because the worker may be cut off from this region while its
     *     former owner still reaches it
     * @param timing lease durations and timeouts
     */
    public ShardScheduler(
            ShardContext context,
            List<ShardEvent> history,
            WorkerClient workers,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer,
            boolean silenceProvesExpiry,
            LeaseTiming timing) {
        mContext = context;
        mHosts = hosts;
        mConfig = config;
        mTimer = timer;
        mScheduler = new JobScheduler(context.shard());
        long now = monotonic.millis();
        mWorkers =
                new WorkerTracker(mScheduler, timing, silenceProvesExpiry, hosts.revision(), now);
        mDispatcher =
                new WorkerDispatcher(
                        context,
                        workers,
                        mScheduler,
                        mWorkers,
                        clock,
                        monotonic,
                        this::schedulePlacement);
        mLock = mDispatcher.lock();
        mRequestHandler =
                new JobRequestHandler(
                        context,
                        config,
                        mScheduler,
                        mWorkers,
                        mDispatcher,
                        timer,
                        this::schedulePlacement);
        for (ShardEvent event : history) {
            mScheduler.apply(event, now);
        }
        mScheduler.resume(clock.millis());
    }

    @Override
    public void start() {
        mTickTask =
                mTimer.scheduleWithFixedDelay(
                        this::tickAndLog, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mStopped = true;
        mDispatcher.disableStarts();
        ScheduledFuture<?> tick = mTickTask;
        if (tick != null) {
            tick.cancel(false);
        }
    }

    /**
     * Accepts a job. The future completes once the acceptance is durable. Submitting the same job
     * again returns its current state.
     */
    public CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        return mRequestHandler.submit(spec);
    }

    /** Cancels a job. The future completes once the cancellation is durable. */
    public CompletableFuture<Either<Refusal, JobView>> cancel(String job) {
        return mRequestHandler.cancel(job);
    }

    /** Returns a job with its tasks, or none. */
    public Option<JobView> view(String job) {
        return mRequestHandler.view(job);
    }

    /** Returns the most recent jobs, without their tasks. */
    public List<JobView> list(int limit) {
        return mLock.readLocked(() -> mScheduler.list(limit, mLock.wallMillis()));
    }

    /** Returns the reason for the current state of a job; empty for an unknown job. */
    public String explain(String job) {
        return view(job).map(JobView::reason).getOrElse("");
    }

    /**
     * Drains a worker or ends its drain. The future completes once the change is durable. The tasks
     * of a drained worker move to other workers.
     */
    public CompletableFuture<Either<Refusal, Boolean>> drainWorker(String worker, boolean drained) {
        return mRequestHandler.drainWorker(worker, drained);
    }

    /** Returns the total free room of the usable workers. */
    public Room freeRoom() {
        return mLock.readLocked(() -> mScheduler.fleet().index().totalFree());
    }

    /** Returns the free room of the usable worker with the most free CPU time. */
    public Room largestFree() {
        return mLock.readLocked(() -> mScheduler.fleet().index().largestFree());
    }

    /** Returns the load of each worker of the shard. */
    public List<WorkerLoad> workerLoads() {
        return mLock.readLocked(mScheduler::workerLoads);
    }

    /** Returns the events that restore the durable state, for a snapshot. */
    public List<ShardEvent> snapshotEvents() {
        return mLock.readLocked(mScheduler::snapshotEvents);
    }

    /**
     * Returns whether all attempts that were running at the takeover are known. No task is placed
     * before that.
     */
    public boolean isInventoryComplete() {
        return mLock.readLocked(mWorkers::isInventoryComplete);
    }

    /**
     * Rejects new jobs and sends no more starts. Leases are still renewed until {@link #stop}.
     *
     * @return completes when no start is in flight and all decisions are durable
     */
    public CompletableFuture<Boolean> quiesce() {
        mQuiesced = true;
        mRequestHandler.close();
        mDispatcher.disableStarts();
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        completeWhenIdle(idle);
        return idle;
    }

    private void completeWhenIdle(CompletableFuture<Boolean> idle) {
        if (mDispatcher.isIdle()) {
            idle.complete(true);
            return;
        }
        var unused =
                mTimer.schedule(
                        () -> completeWhenIdle(idle), IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Catches exceptions, because the timer cancels a periodic task that throws. */
    private void tickAndLog() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOGGER.log(LogEvent.TASK_FAILED, e, "placement " + mContext.shard(), e.getMessage());
        }
    }

    /** Applies a new host list, sends the renewals that are due and places waiting tasks. */
    void tick() {
        long revision = mHosts.revision();
        List<HostInfo> hosts = revision == mHostRevision ? null : mHosts.hostsOf(mContext.shard());
        List<Renewal> renewals = mLock.callLocked(() -> updateWorkers(hosts, revision));
        renewals.forEach(mDispatcher::sendRenewal);
        place();
    }

    private List<Renewal> updateWorkers(@Nullable List<HostInfo> hosts, long revision) {
        long now = mLock.nowMillis();
        if (hosts != null && revision > 0) {
            mHostRevision = revision;
            mWorkers.updateHosts(hosts, revision, now);
        }
        mWorkers.updateFleet(now, mLock.wallMillis());
        mScheduler.enqueueDueStops(now);
        return mWorkers.takeDueRenewals(now);
    }

    /** Schedules a placement on the timer, because the caller may be a thread of the journal. */
    private void schedulePlacement() {
        if (mStopped || !mPlacementQueued.compareAndSet(false, true)) {
            return;
        }
        mTimer.execute(
                () -> {
                    mPlacementQueued.set(false);
                    place();
                });
    }

    /** Places waiting tasks in batches, so that the lock is not held for long. */
    private void place() {
        boolean more = true;
        while (more && !mQuiesced && !mStopped && mContext.ownership().isConfirmed()) {
            Option<EffectiveConfig> config = mConfig.current();
            more = mLock.callLocked(() -> placeBatch(config));
        }
    }

    private boolean placeBatch(Option<EffectiveConfig> config) {
        long now = mLock.nowMillis();
        mScheduler.enqueueDueStops(now);
        if (!mWorkers.isInventoryComplete() || config.isEmpty()) {
            return false;
        }
        EffectiveConfig current = config.get();
        QuotaLookup quotas = name -> current.policyOf(name).map(CustomerPolicy::quota);
        boolean more = mScheduler.place(now, mLock.wallMillis(), MAX_PLACEMENTS_PER_BATCH, quotas);
        // Sends the stops of preempted tasks at once.
        mScheduler.enqueueDueStops(now);
        return more;
    }
}
