package org.hyssoprouter.daemon.request;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.internal.request.RetryBudget;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Forwards one request to the owner of a shard and retries at the owners of other shards. Attempts
 * are made one after the other.
 */
final class RetryingForwarder {
    private static final int MAX_ATTEMPTS = 3;

    private final RequestOrder mOrder;
    private final MonotonicClock mClock;
    private final ShardSelector mShardSelector;
    private final RetryBudget mRetryBudget;
    private final PeerCallType mType;
    private final long mDeadlineMillis;
    // Accessed only by the current attempt; attempts do not overlap.
    private final Set<String> mExcludedShards = new HashSet<>();
    private int mAttempts;
    private boolean mMayHaveRun;

    RetryingForwarder(
            RequestOrder order,
            MonotonicClock clock,
            ShardSelector shardSelector,
            RetryBudget retryBudget,
            PeerCallType type) {
        mOrder = order;
        mClock = clock;
        mShardSelector = shardSelector;
        mRetryBudget = retryBudget;
        mType = type;
        mDeadlineMillis = clock.millis() + order.timeoutMillis();
    }

    /** Excludes a shard from the attempts. */
    void exclude(String shard) {
        mExcludedShards.add(shard);
    }

    /** Makes the next attempt, followed by retries while they are allowed. */
    CompletableFuture<RequestReply> forward(ForwardCall call) {
        Option<ShardRow> row =
                mShardSelector.select(mOrder.service(), shard -> !mExcludedShards.contains(shard));
        if (row.isEmpty()) {
            return CompletableFuture.completedFuture(RequestReply.refused(ReplyFactory.notOwner()));
        }
        mExcludedShards.add(row.get().shard());
        mAttempts++;
        return call.forward(row.get(), withRemainingTime(), mType)
                .thenCompose(reply -> retryOrFinish(reply, call));
    }

    private CompletableFuture<RequestReply> retryOrFinish(RequestReply reply, ForwardCall call) {
        mMayHaveRun |= reply.verdict() == Verdict.MAY_HAVE_RUN;
        if (!shouldRetry(reply)) {
            return CompletableFuture.completedFuture(
                    mMayHaveRun ? ReplyFactory.asMayHaveRun(reply) : reply);
        }
        return forward(call)
                .thenApply(last -> mMayHaveRun ? ReplyFactory.asMayHaveRun(last) : last);
    }

    private boolean shouldRetry(RequestReply reply) {
        Refusal refusal = reply.refusal();
        if (refusal == null || reply.verdict() == Verdict.RAN) {
            return false;
        }
        boolean canRetry = reply.verdict() == Verdict.NOT_RUN || mOrder.idempotent();
        return canRetry
                && isShardSpecific(refusal.code())
                && mAttempts < MAX_ATTEMPTS
                && mClock.millis() < mDeadlineMillis
                && mShardSelector
                        .select(mOrder.service(), shard -> !mExcludedShards.contains(shard))
                        .isDefined()
                && mRetryBudget.trySpend(mOrder.customer());
    }

    private static boolean isShardSpecific(RefusalCode code) {
        return switch (code) {
            case NO_OWNER, OVERLOADED, NOT_READY, TARGET_FAILED -> true;
            default -> false;
        };
    }

    private RequestOrder withRemainingTime() {
        return OrderTimeouts.withTimeout(mOrder, Math.max(1, mDeadlineMillis - mClock.millis()));
    }

    /** Call that forwards a request to the owner of a shard. */
    @FunctionalInterface
    interface ForwardCall {
        CompletableFuture<RequestReply> forward(
                ShardRow row, RequestOrder order, PeerCallType type);
    }
}
