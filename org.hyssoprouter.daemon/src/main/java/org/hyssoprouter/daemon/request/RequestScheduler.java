package org.hyssoprouter.daemon.request;

import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Owner's side of requests: decides alone what runs on the executors of one owned shard, and keeps
 * the idempotency keys that have their home there.
 *
 * @since 0.1
 */
public final class RequestScheduler implements Service {
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final long DEFAULT_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

    private final ShardContext mContext;
    private final ConfigView mConfig;
    private final MonotonicClock mMonotonicClock;
    private final ScheduledExecutorService mTimer;
    private final SlotTracker mSlotTracker = new SlotTracker();
    private final ConcurrentHashMap<String, ServiceQueue> mQueues = new ConcurrentHashMap<>();
    private final ClaimRecorder mClaimRecorder;
    private final RequestSender mSender;
    private final SlotPoller mSlotPoller;
    private final ClaimedRequestHandler mClaimedRequests;
    private volatile boolean mAccepting;
    private volatile @Nullable ScheduledFuture<?> mTickTask;

    /**
     * Creates the desk of a shard.
     *
     * @param context ownership
     * @param history events of the shard since its beginning, in order
     * @param executors port to executors
     * @param hosts newest host list
     * @param config configuration in force
     * @param clock wall clock, for the age of idempotency keys
     * @param monotonic clock for deadlines
     * @param timer runs short tasks at their time
     */
    public RequestScheduler(
            ShardContext context,
            List<ShardEvent> history,
            ExecutorClient executors,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonic,
            ScheduledExecutorService timer) {
        mContext = context;
        mConfig = config;
        mMonotonicClock = monotonic;
        mTimer = timer;
        mClaimRecorder = new ClaimRecorder(context.log(), history, clock, this::retentionMillis);
        mSlotPoller = new SlotPoller(context, mSlotTracker, executors, hosts, monotonic);
        mSender = new RequestSender(context, mSlotTracker, executors, monotonic);
        mClaimedRequests =
                new ClaimedRequestHandler(
                        context, mClaimRecorder, mSlotTracker, monotonic, this::enqueue);
    }

    /** Sets where claimed requests go when no executor of this shard is free. */
    public void setDispatcher(ClaimedRequestDispatcher dispatch) {
        mClaimedRequests.setDispatcher(dispatch);
    }

    @Override
    public void start() {
        mAccepting = true;
        mTickTask =
                mTimer.scheduleWithFixedDelay(
                        this::tick, 0, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mAccepting = false;
        ScheduledFuture<?> tick = mTickTask;
        if (tick != null) {
            tick.cancel(false);
        }
        refuseWaiting();
    }

    /**
     * Handles a caller's request, claiming its idempotency key if it has to.
     *
     * @return completes with the final answer
     */
    public CompletableFuture<RequestReply> handle(RequestOrder order) {
        return admit(order, true);
    }

    /**
     * Handles a request whose key is claimed at the shard that sent it here.
     *
     * @return completes with the final answer
     */
    public CompletableFuture<RequestReply> handleClaimed(RequestOrder order) {
        return admit(order, false);
    }

    private CompletableFuture<RequestReply> admit(RequestOrder order, boolean mayClaim) {
        if (!mAccepting || !mContext.ownership().isConfirmed()) {
            return completed(RequestReply.refused(ReplyFactory.notOwner()));
        }
        Option<EffectiveConfig> config = mConfig.current();
        if (config.isEmpty()) {
            return completed(
                    ReplyFactory.retryLater(
                            RefusalCode.NOT_READY,
                            "no configuration yet",
                            ReplyFactory.OWNER_RETRY_AFTER_MILLIS));
        }
        Option<CustomerPolicy> policy = config.get().policyOf(order.customer());
        if (policy.isEmpty()) {
            return completed(
                    ReplyFactory.notRun(
                            RefusalCode.NOT_FOUND, "no customer named " + order.customer()));
        }
        PendingRequest run = new PendingRequest(order, policy.get(), mMonotonicClock.millis());
        String key = order.key();
        if (mayClaim && !order.idempotent() && key != null) {
            mClaimedRequests.start(run, key);
        } else {
            enqueue(run);
        }
        scheduleExpiry(run);
        return run.reply();
    }

    private static CompletableFuture<RequestReply> completed(RequestReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private void scheduleExpiry(PendingRequest run) {
        if (run.reply().isDone()) {
            return;
        }
        long leftMillis = Math.max(1, run.remainingMillis(mMonotonicClock.millis()));
        run.setExpiryTask(mTimer.schedule(() -> expire(run), leftMillis, TimeUnit.MILLISECONDS));
    }

    private void expire(PendingRequest run) {
        if (run.refuseIfUnsent(ReplyFactory.timeoutBeforeSend())) {
            queueOf(run.order().service()).remove(run);
            return;
        }
        run.answer(
                ReplyFactory.mayHaveRun(
                        RefusalCode.TIMEOUT, "no complete answer within the deadline"));
    }

    private void enqueue(PendingRequest run) {
        if (!mAccepting) {
            run.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        ServiceQueue queue = queueOf(run.order().service());
        queue.offer(run, mMonotonicClock.millis()).forEach(run::refuseIfUnsent);
        if (!mAccepting) {
            refuseWaiting();
        }
        mSender.dispatch(queue);
    }

    private ServiceQueue queueOf(String service) {
        return mQueues.computeIfAbsent(service, name -> new ServiceQueue(name, mSlotTracker));
    }

    private void tick() {
        if (!mContext.ownership().isConfirmed()) {
            refuseWaiting();
        }
        mSlotPoller.poll(this::dispatchAll);
        dispatchAll();
    }

    private void dispatchAll() {
        mQueues.values().forEach(mSender::dispatch);
    }

    private void refuseWaiting() {
        for (ServiceQueue queue : mQueues.values()) {
            queue.drain().forEach(run -> run.refuseIfUnsent(ReplyFactory.notOwner()));
        }
    }

    private long retentionMillis(String customer) {
        return mConfig.current()
                .flatMap(config -> config.policyOf(customer))
                .map(CustomerPolicy::keyRetentionMillis)
                .getOrElse(DEFAULT_RETENTION_MILLIS);
    }

    /** Returns the load of the shard's executors. */
    public LoadDigest load() {
        List<ServiceLoad> services = new ArrayList<>();
        for (String service : mSlotTracker.services()) {
            services.add(queueOf(service).load());
        }
        return digest(services);
    }

    /** Returns the load of one service's executors. */
    public LoadDigest load(String service) {
        return digest(List.of(queueOf(service).load()));
    }

    private LoadDigest digest(List<ServiceLoad> services) {
        return new LoadDigest(
                mContext.shard(),
                mContext.epoch(),
                mMonotonicClock.millis(),
                services,
                Room.NONE,
                Room.NONE);
    }

    /** Returns events that restore the claims of the shard. */
    public List<ShardEvent> snapshotEvents() {
        return mClaimRecorder.snapshotEvents();
    }

    /**
     * Takes no new requests; those that were not sent are refused at once.
     *
     * @return completes when no request is in flight and no claim waits to be written
     */
    public CompletableFuture<Boolean> quiesce() {
        mAccepting = false;
        refuseWaiting();
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        completeWhenIdle(done);
        return done;
    }

    private void completeWhenIdle(CompletableFuture<Boolean> done) {
        if (mSender.inFlight() == 0
                && !mClaimedRequests.hasOpenClaims()
                && !mClaimRecorder.isWriting()) {
            done.complete(true);
            return;
        }
        var unused =
                mTimer.schedule(
                        () -> completeWhenIdle(done), TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
