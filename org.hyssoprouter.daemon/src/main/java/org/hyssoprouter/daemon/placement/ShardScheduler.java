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
 * Places the jobs of one owned shard on its workers. Decisions are made in memory under the shard's
 * lock; calls to the journal and to workers are made after it is released, in the same order.
 *
 * @since 0.1
 */
public final class ShardScheduler implements Service {
    private static final EventLogger LOGGER = EventLogger.of(ShardScheduler.class);
    private static final long TICK_INTERVAL_MILLIS = 200;
    private static final long IDLE_POLL_MILLIS = 20;
    private static final int MAX_PLACEMENTS_PER_STEP = 256;

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
    private volatile @Nullable ScheduledFuture<?> mTick;

    /**
     * Creates the scheduler of a shard in the daemon's own region, with the standard times.
     *
     * @param context ownership
     * @param history events since the shard's beginning, in order
     * @param workers port to the workers; a call must end within the call time of the timing
     * @param hosts newest host list
     * @param config configuration in force
     * @param clock wall clock, for what operators see
     * @param monotonic clock that leases are counted on
     * @param timer threads for ticks and answers
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
     * Creates the scheduler of a shard with the standard times.
     *
     * @param settledBySilence whether silence of a worker proves that its lease has lapsed; false
     *     in another region, from which the worker may be cut off while its former owner is not
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
            boolean settledBySilence) {
        this(
                context,
                history,
                workers,
                hosts,
                config,
                clock,
                monotonic,
                timer,
                settledBySilence,
                LeaseTiming.defaults());
    }

    /**
     * Creates the scheduler of a shard.
     *
     * @param settledBySilence whether silence of a worker proves that its lease has lapsed; false
     *     in another region, from which the worker may be cut off while its former owner is not
     * @param timing times of the leases
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
            boolean settledBySilence,
            LeaseTiming timing) {
        mContext = context;
        mHosts = hosts;
        mConfig = config;
        mTimer = timer;
        mScheduler = new JobScheduler(context.shard());
        long now = monotonic.millis();
        mWorkers = new WorkerTracker(mScheduler, timing, settledBySilence, hosts.revision(), now);
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
        mTick =
                mTimer.scheduleWithFixedDelay(
                        this::tickAndLog, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mStopped = true;
        mDispatcher.disableStarts();
        ScheduledFuture<?> tick = mTick;
        if (tick != null) {
            tick.cancel(false);
        }
    }

    /**
     * Accepts a job; the answer comes once its acceptance is durable. The same job again gets the
     * same answer.
     */
    public CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        return mRequestHandler.submit(spec);
    }

    /** Cancels a job; the answer comes once the cancellation is durable. */
    public CompletableFuture<Either<Refusal, JobView>> cancel(String job) {
        return mRequestHandler.cancel(job);
    }

    /** Returns a job with its tasks, or none. */
    public Option<JobView> view(String job) {
        return mRequestHandler.view(job);
    }

    /** Returns the newest jobs, without their tasks. */
    public List<JobView> list(int limit) {
        return mLock.readLocked(() -> mScheduler.list(limit, mLock.wallMillis()));
    }

    /** Returns why a job waits or how it ended; empty for an unknown one. */
    public String explain(String job) {
        return view(job).map(JobView::reason).getOrElse("");
    }

    /**
     * Takes a worker out of use, or puts it back; the answer comes once that is durable. The tasks
     * of a drained worker move elsewhere.
     */
    public CompletableFuture<Either<Refusal, Boolean>> drainWorker(String worker, boolean drained) {
        return mRequestHandler.drainWorker(worker, drained);
    }

    /** Returns the free room of all workers that may receive work. */
    public Room freeRoom() {
        return mLock.readLocked(() -> mScheduler.fleet().index().totalFree());
    }

    /** Returns the free room of the worker that has the most processor time free. */
    public Room largestFree() {
        return mLock.readLocked(() -> mScheduler.fleet().index().largestFree());
    }

    /** Returns what each worker of the shard holds. */
    public List<WorkerLoad> workerLoads() {
        return mLock.readLocked(mScheduler::workerLoads);
    }

    /** Returns events that restore the durable state. */
    public List<ShardEvent> snapshotEvents() {
        return mLock.readLocked(mScheduler::snapshotEvents);
    }

    /** Returns whether it is known what ran on every worker at the takeover. */
    public boolean isInventoryComplete() {
        return mLock.readLocked(mWorkers::isInventoryComplete);
    }

    /**
     * Takes no new work and sends no new start. Leases are still renewed until {@link #sendStop}.
     *
     * @return completes when no start is under way and all that was decided is durable
     */
    public CompletableFuture<Boolean> quiesce() {
        mQuiesced = true;
        mRequestHandler.close();
        mDispatcher.disableStarts();
        CompletableFuture<Boolean> quiet = new CompletableFuture<>();
        awaitIdle(quiet);
        return quiet;
    }

    private void awaitIdle(CompletableFuture<Boolean> quiet) {
        if (mDispatcher.isIdle()) {
            quiet.complete(true);
            return;
        }
        var unused =
                mTimer.schedule(() -> awaitIdle(quiet), IDLE_POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Keeps the timer going: it drops a task that throws. */
    private void tickAndLog() {
        try {
            tick();
        } catch (RuntimeException e) {
            LOGGER.log(LogEvent.TASK_FAILED, e, "placement " + mContext.shard(), e.getMessage());
        }
    }

    /** Follows the host list, renews leases that are due, and places what waits. */
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

    /** Places on a thread of the timer, because the caller may be one of the journal's. */
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

    /** Places in steps, so that the lock is never held for long. */
    private void place() {
        boolean more = true;
        while (more && !mQuiesced && !mStopped && mContext.ownership().isConfirmed()) {
            Option<EffectiveConfig> config = mConfig.current();
            more = mLock.callLocked(() -> placeStep(config));
        }
    }

    private boolean placeStep(Option<EffectiveConfig> config) {
        long now = mLock.nowMillis();
        mScheduler.enqueueDueStops(now);
        if (!mWorkers.isInventoryComplete() || config.isEmpty()) {
            return false;
        }
        EffectiveConfig inForce = config.get();
        QuotaLookup quotas = name -> inForce.policyOf(name).map(CustomerPolicy::quota);
        boolean more = mScheduler.place(now, mLock.wallMillis(), MAX_PLACEMENTS_PER_STEP, quotas);
        // Stops that make room for urgent work go out at once.
        mScheduler.enqueueDueStops(now);
        return more;
    }
}
