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
import org.hyssoprouter.transport.HostView;
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
public final class RequestRouter implements ClaimedDispatch {
    // An owner answers at the deadline itself; its answer needs this time to arrive.
    private static final long ANSWER_GRACE_MILLIS = 100;

    private final ShardChoice mChoice;
    private final ShardLoads mLoads = new ShardLoads();
    private final ConfigView mConfig;
    private final PeerTransport mPeers;
    private final Function<String, Option<RequestDesk>> mDesks;
    private final MonotonicClock mClock;
    private final CustomerRateLimiter mRates = new CustomerRateLimiter();
    private final RetryBudget mRetries = new RetryBudget();

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
            HostView hosts,
            ConfigView config,
            PeerTransport peers,
            Function<String, Option<RequestDesk>> desks,
            String region,
            MonotonicClock clock) {
        mChoice = new ShardChoice(directory, hosts, mLoads, region);
        mConfig = config;
        mPeers = peers;
        mDesks = desks;
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
            return answered(
                    Replies.later(
                            RefusalCode.NOT_READY,
                            "no configuration yet",
                            Replies.OWNER_RETRY_MILLIS));
        }
        Option<CustomerPolicy> policy = config.get().policyOf(order.customer());
        if (policy.isEmpty()) {
            return answered(
                    Replies.notRun(RefusalCode.NOT_FOUND, "no customer named " + order.customer()));
        }
        long waitMillis =
                mRates.admit(order.customer(), policy.get().requestsPerSecond(), mClock.millis());
        if (waitMillis > 0) {
            return answered(
                    Replies.later(
                            RefusalCode.OVER_LIMIT,
                            "the customer is over its requests a second",
                            waitMillis));
        }
        if (!mChoice.isServed(order.service())) {
            return answered(
                    Replies.notRun(
                            RefusalCode.NOT_FOUND, "no executor answers for " + order.service()));
        }
        mRetries.recordFirstAttempt(order.customer(), policy.get().retryBudgetPercent());
        return start(order, policy.get());
    }

    private CompletableFuture<RequestReply> start(RequestOrder order, CustomerPolicy policy) {
        String key = order.key();
        if (!order.idempotent() && key != null) {
            Option<ShardRow> home = mChoice.homeOf(policy.homeRegion(), order.customer(), key);
            return home.map(row -> forward(row, order, PeerCallType.REQUEST))
                    .getOrElse(() -> answered(noOwner()));
        }
        RouteAttempts attempts =
                new RouteAttempts(order, mClock, mChoice, mRetries, PeerCallType.REQUEST);
        return attempts.run(this::forward);
    }

    @Override
    public CompletableFuture<RequestReply> dispatch(RequestOrder order, String claimShard) {
        RouteAttempts attempts =
                new RouteAttempts(order, mClock, mChoice, mRetries, PeerCallType.CLAIMED_REQUEST);
        attempts.exclude(claimShard);
        return attempts.run(this::forward);
    }

    private CompletableFuture<RequestReply> forward(
            ShardRow row, RequestOrder order, PeerCallType type) {
        mLoads.sent(row.shard());
        return mDesks.apply(row.shard())
                .map(desk -> handle(desk, order, type))
                .getOrElse(() -> send(row, order, type))
                .whenComplete((reply, failure) -> learn(row.shard(), reply));
    }

    private void learn(String shard, @Nullable RequestReply reply) {
        mLoads.answered(shard);
        LoadDigest load = reply == null ? null : reply.load();
        if (load != null) {
            mLoads.learn(load);
        }
    }

    private CompletableFuture<RequestReply> send(
            ShardRow row, RequestOrder order, PeerCallType type) {
        byte[] payload = MessageCodec.encode(new ForwardedOrder(row.shard(), order));
        return mPeers.call(
                        row.peerAddress(),
                        type.number(),
                        order.trafficClass(),
                        payload,
                        order.timeoutMillis() + ANSWER_GRACE_MILLIS)
                .thenApply(RequestRouter::decode);
    }

    private static RequestReply decode(Either<CallError, byte[]> result) {
        if (result.isLeft()) {
            return ofCallError(result.getLeft());
        }
        try {
            return MessageCodec.decode(result.get(), RequestReply.class);
        } catch (IOException e) {
            return Replies.mayHaveRun(
                    RefusalCode.TARGET_FAILED, "the owner's answer cannot be read");
        }
    }

    private static RequestReply ofCallError(CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            return Replies.later(
                    RefusalCode.NO_OWNER,
                    "the owner was not reached: " + error.message(),
                    Replies.OWNER_RETRY_MILLIS);
        }
        RefusalCode code =
                error.kind() == CallError.Kind.TIMEOUT
                        ? RefusalCode.TIMEOUT
                        : RefusalCode.TARGET_FAILED;
        return Replies.mayHaveRun(code, "the owner did not answer: " + error.message());
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
            RequestReply reply = Replies.notRun(RefusalCode.BAD_INPUT, "order cannot be read");
            return CompletableFuture.completedFuture(MessageCodec.encode(reply));
        }
        return mDesks.apply(forwarded.shard())
                .map(desk -> handle(desk, forwarded.order(), type))
                .getOrElse(() -> answered(noOwner()))
                .thenApply(MessageCodec::encode);
    }

    private static CompletableFuture<RequestReply> handle(
            RequestDesk desk, RequestOrder order, PeerCallType type) {
        CompletableFuture<RequestReply> reply =
                type == PeerCallType.CLAIMED_REQUEST
                        ? desk.handleClaimed(order)
                        : desk.handle(order);
        return reply.thenApply(value -> value.withLoad(desk.load(order.service())));
    }

    private static RequestReply noOwner() {
        return RequestReply.refused(Replies.notOwner());
    }

    private static CompletableFuture<RequestReply> answered(RequestReply reply) {
        return CompletableFuture.completedFuture(reply);
    }
}
