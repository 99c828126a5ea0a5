package org.hyssoprouter.daemon.request;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.internal.request.CustomerRateLimiter;
import org.hyssoprouter.internal.request.RetryBudget;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Entry's side of requests: finds the owner that shall answer, forwards once, and tries another
 * owner only when that cannot run a request twice.
 *
 * @since 0.1
 */
public final class RequestRouter implements ClaimedRequestDispatcher {
    // An owner answers at the deadline itself; its answer needs this time to arrive.
    private static final long REPLY_GRACE_MILLIS = 100;

    private final ShardSelector mShardSelector;
    private final ShardLoadTracker mLoadTracker = new ShardLoadTracker();
    private final ConfigView mConfig;
    private final PeerTransport mPeers;
    private final Function<String, Option<RequestScheduler>> mSchedulers;
    private final MonotonicClock mClock;
    private final CustomerRateLimiter mRateLimiter = new CustomerRateLimiter();
    private final RetryBudget mRetryBudget = new RetryBudget();

    /**
     * Creates the router of a daemon.
     *
     * @param directory owners of shards
     * @param hosts newest host list
     * @param config configuration in force
     * @param peers port to other daemons
     * @param desks the desk of a shard that this daemon owns, by the name of the shard
     * @param region region of this daemon
     * @param clock clock for deadlines
     */
    public RequestRouter(
            ShardDirectory directory,
            HostDirectory hosts,
            ConfigView config,
            PeerTransport peers,
            Function<String, Option<RequestScheduler>> desks,
            String region,
            MonotonicClock clock) {
        mShardSelector = new ShardSelector(directory, hosts, mLoadTracker, region);
        mConfig = config;
        mPeers = peers;
        mSchedulers = desks;
        mClock = clock;
    }

    /**
     * Routes a caller's request.
     *
     * @return completes with the final answer
     */
    public CompletableFuture<RequestReply> route(RequestOrder order) {
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
        long waitMillis =
                mRateLimiter.admit(
                        order.customer(), policy.get().requestsPerSecond(), mClock.millis());
        if (waitMillis > 0) {
            return completed(
                    ReplyFactory.retryLater(
                            RefusalCode.OVER_LIMIT,
                            "the customer is over its requests a second",
                            waitMillis));
        }
        if (!mShardSelector.isServed(order.service())) {
            return completed(
                    ReplyFactory.notRun(
                            RefusalCode.NOT_FOUND, "no executor answers for " + order.service()));
        }
        mRetryBudget.recordFirstAttempt(order.customer(), policy.get().retryBudgetPercent());
        return forwardByKind(order, policy.get());
    }

    private CompletableFuture<RequestReply> forwardByKind(
            RequestOrder order, CustomerPolicy policy) {
        String key = order.key();
        if (!order.idempotent() && key != null) {
            Option<ShardRow> home =
                    mShardSelector.homeShard(policy.homeRegion(), order.customer(), key);
            return home.map(row -> forward(row, order, PeerCallType.REQUEST))
                    .getOrElse(() -> completed(noOwner()));
        }
        RetryingForwarder attempts =
                new RetryingForwarder(
                        order, mClock, mShardSelector, mRetryBudget, PeerCallType.REQUEST);
        return attempts.forward(this::forward);
    }

    @Override
    public CompletableFuture<RequestReply> dispatch(RequestOrder order, String claimShard) {
        RetryingForwarder attempts =
                new RetryingForwarder(
                        order, mClock, mShardSelector, mRetryBudget, PeerCallType.CLAIMED_REQUEST);
        attempts.exclude(claimShard);
        return attempts.forward(this::forward);
    }

    private CompletableFuture<RequestReply> forward(
            ShardRow row, RequestOrder order, PeerCallType type) {
        mLoadTracker.recordSent(row.shard());
        return mSchedulers
                .apply(row.shard())
                .map(desk -> handle(desk, order, type))
                .getOrElse(() -> sendToPeer(row, order, type))
                .whenComplete((reply, failure) -> recordReply(row.shard(), reply));
    }

    private void recordReply(String shard, @Nullable RequestReply reply) {
        mLoadTracker.recordReply(shard);
        LoadDigest load = reply == null ? null : reply.load();
        if (load != null) {
            mLoadTracker.update(load);
        }
    }

    private CompletableFuture<RequestReply> sendToPeer(
            ShardRow row, RequestOrder order, PeerCallType type) {
        byte[] payload = MessageCodec.encode(new ForwardedOrder(row.shard(), order));
        return mPeers.call(
                        row.peerAddress(),
                        type.number(),
                        order.trafficClass(),
                        payload,
                        order.timeoutMillis() + REPLY_GRACE_MILLIS)
                .thenApply(RequestRouter::decodeReply);
    }

    private static RequestReply decodeReply(Either<CallError, byte[]> result) {
        if (result.isLeft()) {
            return peerFailure(result.getLeft());
        }
        try {
            return MessageCodec.decode(result.get(), RequestReply.class);
        } catch (IOException e) {
            return ReplyFactory.mayHaveRun(
                    RefusalCode.TARGET_FAILED, "the owner's answer cannot be read");
        }
    }

    private static RequestReply peerFailure(CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            return ReplyFactory.retryLater(
                    RefusalCode.NO_OWNER,
                    "the owner was not reached: " + error.message(),
                    ReplyFactory.OWNER_RETRY_AFTER_MILLIS);
        }
        RefusalCode code =
                error.kind() == CallError.Kind.TIMEOUT
                        ? RefusalCode.TIMEOUT
                        : RefusalCode.TARGET_FAILED;
        return ReplyFactory.mayHaveRun(code, "the owner did not answer: " + error.message());
    }

    /**
     * Answers a peer's {@link PeerCallType#REQUEST} or {@link PeerCallType#CLAIMED_REQUEST}.
     *
     * @param type which of the two
     * @param payload encoded {@link ForwardedOrder}
     * @return the encoded {@link RequestReply}
     */
    public CompletableFuture<byte[]> onForwarded(PeerCallType type, byte[] payload) {
        ForwardedOrder forwarded;
        try {
            forwarded = MessageCodec.decode(payload, ForwardedOrder.class);
        } catch (IOException e) {
            RequestReply reply = ReplyFactory.notRun(RefusalCode.BAD_INPUT, "order cannot be read");
            return CompletableFuture.completedFuture(MessageCodec.encode(reply));
        }
        return mSchedulers
                .apply(forwarded.shard())
                .map(desk -> handle(desk, forwarded.order(), type))
                .getOrElse(() -> completed(noOwner()))
                .thenApply(MessageCodec::encode);
    }

    private static CompletableFuture<RequestReply> handle(
            RequestScheduler desk, RequestOrder order, PeerCallType type) {
        CompletableFuture<RequestReply> reply =
                type == PeerCallType.CLAIMED_REQUEST
                        ? desk.handleClaimed(order)
                        : desk.handle(order);
        return reply.thenApply(value -> value.withLoad(desk.load(order.service())));
    }

    private static RequestReply noOwner() {
        return RequestReply.refused(ReplyFactory.notOwner());
    }

    private static CompletableFuture<RequestReply> completed(RequestReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
