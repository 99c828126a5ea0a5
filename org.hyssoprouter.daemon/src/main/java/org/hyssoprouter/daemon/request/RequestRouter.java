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
 * Routes the requests that this daemon receives from callers: selects a shard and forwards the
 * request to its owner. Retries at another owner only if the request has not run or is idempotent.
 *
 * @since 0.1
 */
public final class RequestRouter implements ClaimedRequestDispatcher {
    // The owner replies at the deadline at the latest; this is the time for its reply to arrive.
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
     * @param directory shards and their owners
     * @param hosts current host list
     * @param config configuration in force
     * @param peers transport for calls to other daemons
     * @param schedulers finds the scheduler of a shard that this daemon owns, by the name of the
     *     shard
     * @param region region of this daemon
     * @param clock monotonic clock for deadlines
     */
    public RequestRouter(
            ShardDirectory directory,
            HostDirectory hosts,
            ConfigView config,
            PeerTransport peers,
            Function<String, Option<RequestScheduler>> schedulers,
            String region,
            MonotonicClock clock) {
        mShardSelector = new ShardSelector(directory, hosts, mLoadTracker, region);
        mConfig = config;
        mPeers = peers;
        mSchedulers = schedulers;
        mClock = clock;
    }

    /**
     * Routes a caller's request.
     *
     * @return completes with the final reply
     */
    public CompletableFuture<RequestReply> route(RequestOrder order) {
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
        long waitMillis =
                mRateLimiter.admit(
                        order.customer(), policy.get().requestsPerSecond(), mClock.millis());
        if (waitMillis > 0) {
            return completed(
                    ReplyFactory.retryLater(
                            RefusalCode.OVER_LIMIT,
                            "the customer has exceeded its limit of requests per second",
                            waitMillis));
        }
        if (!mShardSelector.isServed(order.service())) {
            return completed(
                    ReplyFactory.notRun(
                            RefusalCode.NOT_FOUND,
                            "no executor provides service " + order.service()));
        }
        mRetryBudget.recordFirstAttempt(order.customer(), policy.get().retryBudgetPercent());
        return selectAndForward(order, policy.get());
    }

    private CompletableFuture<RequestReply> selectAndForward(
            RequestOrder order, CustomerPolicy policy) {
        String key = order.key();
        if (!order.idempotent() && key != null) {
            Option<ShardRow> home =
                    mShardSelector.homeShard(policy.homeRegion(), order.customer(), key);
            return home.map(row -> forward(row, order, PeerCallType.REQUEST))
                    .getOrElse(() -> completed(noOwner()));
        }
        RetryingForwarder forwarder =
                new RetryingForwarder(
                        order, mClock, mShardSelector, mRetryBudget, PeerCallType.REQUEST);
        return forwarder.forward(this::forward);
    }

    @Override
    public CompletableFuture<RequestReply> dispatch(RequestOrder order, String claimShard) {
        RetryingForwarder forwarder =
                new RetryingForwarder(
                        order, mClock, mShardSelector, mRetryBudget, PeerCallType.CLAIMED_REQUEST);
        forwarder.exclude(claimShard);
        return forwarder.forward(this::forward);
    }

    private CompletableFuture<RequestReply> forward(
            ShardRow row, RequestOrder order, PeerCallType type) {
        mLoadTracker.recordSent(row.shard());
        return mSchedulers
                .apply(row.shard())
                .map(scheduler -> handle(scheduler, order, type))
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
                    RefusalCode.TARGET_FAILED, "malformed reply from the shard owner");
        }
    }

    private static RequestReply peerFailure(CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            return ReplyFactory.retryLater(
                    RefusalCode.NO_OWNER,
                    "the shard owner could not be reached: " + error.message(),
                    ReplyFactory.OWNER_RETRY_AFTER_MILLIS);
        }
        RefusalCode code =
                error.kind() == CallError.Kind.TIMEOUT
                        ? RefusalCode.TIMEOUT
                        : RefusalCode.TARGET_FAILED;
        return ReplyFactory.mayHaveRun(code, "the shard owner did not answer: " + error.message());
    }

    /**
     * Handles a {@link PeerCallType#REQUEST} or {@link PeerCallType#CLAIMED_REQUEST} from a peer.
     *
     * @param type type of the call
     * @param payload encoded {@link ForwardedOrder}
     * @return the encoded {@link RequestReply}
     */
    public CompletableFuture<byte[]> onForwarded(PeerCallType type, byte[] payload) {
        ForwardedOrder forwarded;
        try {
            forwarded = MessageCodec.decode(payload, ForwardedOrder.class);
        } catch (IOException e) {
            RequestReply reply =
                    ReplyFactory.notRun(RefusalCode.BAD_INPUT, "malformed forwarded request");
            return CompletableFuture.completedFuture(MessageCodec.encode(reply));
        }
        return mSchedulers
                .apply(forwarded.shard())
                .map(scheduler -> handle(scheduler, forwarded.order(), type))
                .getOrElse(() -> completed(noOwner()))
                .thenApply(MessageCodec::encode);
    }

    private static CompletableFuture<RequestReply> handle(
            RequestScheduler scheduler, RequestOrder order, PeerCallType type) {
        CompletableFuture<RequestReply> reply =
                type == PeerCallType.CLAIMED_REQUEST
                        ? scheduler.handleClaimed(order)
                        : scheduler.handle(order);
        return reply.thenApply(value -> value.withLoad(scheduler.load(order.service())));
    }

    private static RequestReply noOwner() {
        return RequestReply.refused(ReplyFactory.notOwner());
    }

    private static CompletableFuture<RequestReply> completed(RequestReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
