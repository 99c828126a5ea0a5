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

/** Tries the owners of several shards in turn, one at a time, for one request. */
final class RouteAttempts {
    private static final int MAX_ATTEMPTS = 3;

    private final RequestOrder mOrder;
    private final MonotonicClock mClock;
    private final ShardChoice mChoice;
    private final RetryBudget mRetries;
    private final PeerCallType mType;
    private final long mDeadlineMillis;
    // Only the attempt that is under way uses these; one follows the other.
    private final Set<String> mTried = new HashSet<>();
    private int mAttempts;
    private boolean mMayHaveRun;

    RouteAttempts(
            RequestOrder order,
            MonotonicClock clock,
            ShardChoice choice,
            RetryBudget retries,
            PeerCallType type) {
        mOrder = order;
        mClock = clock;
        mChoice = choice;
        mRetries = retries;
        mType = type;
        mDeadlineMillis = clock.millis() + order.timeoutMillis();
    }

    /** Leaves out a shard. */
    void exclude(String shard) {
        mTried.add(shard);
    }

    /** Makes the attempts. */
    CompletableFuture<RequestReply> run(Forwarder forwarder) {
        Option<ShardRow> row = mChoice.anyFor(mOrder.service(), shard -> !mTried.contains(shard));
        if (row.isEmpty()) {
            return CompletableFuture.completedFuture(RequestReply.refused(Replies.notOwner()));
        }
        mTried.add(row.get().shard());
        mAttempts++;
        return forwarder
                .forward(row.get(), withTimeLeft(), mType)
                .thenCompose(reply -> next(reply, forwarder));
    }

    private CompletableFuture<RequestReply> next(RequestReply reply, Forwarder forwarder) {
        mMayHaveRun |= reply.verdict() == Verdict.MAY_HAVE_RUN;
        if (!isWorthAnother(reply)) {
            return CompletableFuture.completedFuture(
                    mMayHaveRun ? Replies.asMayHaveRun(reply) : reply);
        }
        return run(forwarder).thenApply(last -> mMayHaveRun ? Replies.asMayHaveRun(last) : last);
    }

    private boolean isWorthAnother(RequestReply reply) {
        Refusal refusal = reply.refusal();
        if (refusal == null || reply.verdict() == Verdict.RAN) {
            return false;
        }
        boolean mayRepeat = reply.verdict() == Verdict.NOT_RUN || mOrder.idempotent();
        return mayRepeat
                && isOfOneShard(refusal.code())
                && mAttempts < MAX_ATTEMPTS
                && mClock.millis() < mDeadlineMillis
                && mChoice.anyFor(mOrder.service(), shard -> !mTried.contains(shard)).isDefined()
                && mRetries.trySpend(mOrder.customer());
    }

    private static boolean isOfOneShard(RefusalCode code) {
        return switch (code) {
            case NO_OWNER, OVERLOADED, NOT_READY, TARGET_FAILED -> true;
            default -> false;
        };
    }

    private RequestOrder withTimeLeft() {
        return Orders.withTimeout(mOrder, Math.max(1, mDeadlineMillis - mClock.millis()));
    }

    /** Forwards a request to the owner of a shard. */
    @FunctionalInterface
    interface Forwarder {
        CompletableFuture<RequestReply> forward(
                ShardRow row, RequestOrder order, PeerCallType type);
    }
}
