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
 * Schedules requests on the executors of one owned shard, as the only scheduler of these executors,
 * and stores the idempotency keys whose home shard it is.
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
     * Creates the scheduler of a shard.
     *
     * @param context shard and its ownership
     * @param history all events of the shard so far, in order
     * @param executors client for calls to executors
     * @param hosts current host list
     * @param config configuration in force
     * @param clock wall clock, for the age of idempotency keys
     * @param monotonicClock clock for deadlines
     * @param timer runs short scheduled tasks
     */
    public RequestScheduler(
            ShardContext context,
            List<ShardEvent> history,
            ExecutorClient executors,
            HostDirectory hosts,
            ConfigView config,
            Clock clock,
            MonotonicClock monotonicClock,
            ScheduledExecutorService timer) {
        mContext = context;
        mConfig = config;
        mMonotonicClock = monotonicClock;
        mTimer = timer;
        mClaimRecorder = new ClaimRecorder(context.log(), history, clock, this::retentionMillis);
        mSlotPoller = new SlotPoller(context, mSlotTracker, executors, hosts, monotonicClock);
        mSender = new RequestSender(context, mSlotTracker, executors, monotonicClock);
        mClaimedRequests =
                new ClaimedRequestHandler(
                        context, mClaimRecorder, mSlotTracker, monotonicClock, this::enqueue);
    }

    /** Sets the dispatcher of claimed requests for which no executor of this shard is free. */
    public void setDispatcher(ClaimedRequestDispatcher dispatcher) {
        mClaimedRequests.setDispatcher(dispatcher);
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
        ScheduledFuture<?> tickTask = mTickTask;
        if (tickTask != null) {
            tickTask.cancel(false);
        }
        refuseWaiting();
    }

    /**
     * Handles a caller's request. Claims its idempotency key if it has one and the request is not
     * idempotent.
     *
     * @return completes with the final reply
     */
    public CompletableFuture<RequestReply> handle(RequestOrder order) {
        return admit(order, true);
    }

    /**
     * Handles a request whose idempotency key is claimed at the shard that forwarded it.
     *
     * @return completes with the final reply
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
                            "this daemon has no current configuration",
                            ReplyFactory.OWNER_RETRY_AFTER_MILLIS));
        }
        Option<CustomerPolicy> policy = config.get().policyOf(order.customer());
        if (policy.isEmpty()) {
            return completed(
                    ReplyFactory.notRun(
                            RefusalCode.NOT_FOUND, "no customer named " + order.customer()));
        }
        PendingRequest request = new PendingRequest(order, policy.get(), mMonotonicClock.millis());
        String key = order.key();
        if (mayClaim && !order.idempotent() && key != null) {
            mClaimedRequests.start(request, key);
        } else {
            enqueue(request);
        }
        scheduleExpiry(request);
        return request.reply();
    }

    private static CompletableFuture<RequestReply> completed(RequestReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private void scheduleExpiry(PendingRequest request) {
        if (request.reply().isDone()) {
            return;
        }
        long remainingMillis = Math.max(1, request.remainingMillis(mMonotonicClock.millis()));
        request.setExpiryTask(
                mTimer.schedule(() -> expire(request), remainingMillis, TimeUnit.MILLISECONDS));
    }

    private void expire(PendingRequest request) {
        if (request.refuseIfUnsent(ReplyFactory.timeoutBeforeSend())) {
            queueOf(request.order().service()).remove(request);
            return;
        }
        request.answer(
                ReplyFactory.mayHaveRun(
                        RefusalCode.TIMEOUT, "no complete response before the deadline"));
    }

    private void enqueue(PendingRequest request) {
        if (!mAccepting) {
            request.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        ServiceQueue queue = queueOf(request.order().service());
        queue.offer(request, mMonotonicClock.millis()).forEach(request::refuseIfUnsent);
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
            queue.drain().forEach(request -> request.refuseIfUnsent(ReplyFactory.notOwner()));
        }
    }

    private long retentionMillis(String customer) {
        return mConfig.current()
                .flatMap(config -> config.policyOf(customer))
                .map(CustomerPolicy::keyRetentionMillis)
                .getOrElse(DEFAULT_RETENTION_MILLIS);
    }

    /** Returns the load of the shard's executors, for all services. */
    public LoadDigest load() {
        List<ServiceLoad> services = new ArrayList<>();
        for (String service : mSlotTracker.services()) {
            services.add(queueOf(service).load());
        }
        return digest(services);
    }

    /** Returns the load of the shard's executors of one service. */
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

    /** Returns the events that restore the claims of the shard. */
    public List<ShardEvent> snapshotEvents() {
        return mClaimRecorder.snapshotEvents();
    }

    /**
     * Refuses new requests, and those that were not sent yet.
     *
     * @return completes when no request is in flight and no claim remains to be written
     */
    public CompletableFuture<Boolean> quiesce() {
        mAccepting = false;
        refuseWaiting();
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        completeWhenIdle(idle);
        return idle;
    }

    private void completeWhenIdle(CompletableFuture<Boolean> idle) {
        if (mSender.inFlight() == 0
                && !mClaimedRequests.hasOpenClaims()
                && !mClaimRecorder.isWriting()) {
            idle.complete(true);
            return;
        }
        var unused =
                mTimer.schedule(
                        () -> completeWhenIdle(idle), TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
}
