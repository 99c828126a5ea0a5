package org.hyssoprouter.daemon.request;

import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.ClaimResult;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.LoadDigest.ServiceLoad;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Handles non-idempotent requests with an idempotency key: claims the key, waits until the claim is
 * durable, sends the request and records its outcome.
 */
final class ClaimedRequestHandler {
    private static final long MAX_CLAIM_WRITE_MILLIS = 1_000;
    private static final long IN_PROGRESS_RETRY_AFTER_MILLIS = 100;

    private final ShardContext mContext;
    private final ClaimRecorder mClaimRecorder;
    private final SlotTracker mSlotTracker;
    private final MonotonicClock mClock;
    private final Consumer<PendingRequest> mEnqueue;
    private final AtomicInteger mOpenClaims = new AtomicInteger();
    private volatile @Nullable ClaimedRequestDispatcher mDispatcher;

    ClaimedRequestHandler(
            ShardContext context,
            ClaimRecorder claimRecorder,
            SlotTracker slotTracker,
            MonotonicClock clock,
            Consumer<PendingRequest> enqueue) {
        mContext = context;
        mClaimRecorder = claimRecorder;
        mSlotTracker = slotTracker;
        mClock = clock;
        mEnqueue = enqueue;
    }

    void setDispatcher(ClaimedRequestDispatcher dispatcher) {
        mDispatcher = dispatcher;
    }

    /** Returns whether the outcome of a claim is pending. */
    boolean hasOpenClaims() {
        return mOpenClaims.get() > 0;
    }

    /** Claims the key of a request and sends it, or answers it if the key is already in use. */
    void start(PendingRequest request, String key) {
        if (!mContext.ownership().isConfirmed()) {
            request.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        ClaimResult claimResult = mClaimRecorder.claim(request.order(), key);
        if (claimResult instanceof ClaimResult.Claimed claimed) {
            mOpenClaims.incrementAndGet();
            writeClaim(request, key, claimed);
            return;
        }
        request.answer(replyTo(claimResult));
    }

    private RequestReply replyTo(ClaimResult claimResult) {
        if (claimResult instanceof ClaimResult.Settled settled) {
            return ReplyFactory.fromOutcome(settled.outcome());
        }
        if (claimResult instanceof ClaimResult.InProgress) {
            return ReplyFactory.inProgress(IN_PROGRESS_RETRY_AFTER_MILLIS);
        }
        if (claimResult instanceof ClaimResult.BodyMismatch) {
            return ReplyFactory.notRun(
                    RefusalCode.CONFLICT, "the idempotency key was used with a different body");
        }
        if (claimResult instanceof ClaimResult.Full full) {
            return ReplyFactory.retryLater(
                    RefusalCode.OVER_LIMIT,
                    "the shard has reached its maximum number of idempotency keys",
                    full.retryAfterMillis());
        }
        return ReplyFactory.keyExpired();
    }

    private void writeClaim(PendingRequest request, String key, ClaimResult.Claimed claimed) {
        long remainingMillis = request.remainingMillis(mClock.millis());
        long withinMillis = Math.max(1, Math.min(MAX_CLAIM_WRITE_MILLIS, remainingMillis));
        var unused =
                mClaimRecorder
                        .appendClaim(claimed.event(), withinMillis)
                        .whenComplete((result, failure) -> onClaimWritten(request, key, result));
    }

    private void onClaimWritten(
            PendingRequest request, String key, @Nullable Either<TableError, Boolean> result) {
        if (result == null || result.isLeft()) {
            boolean claimMayBeWritten =
                    result == null || result.getLeft().kind() == TableError.Kind.UNKNOWN;
            request.refuseIfUnsent(ReplyFactory.tableUnavailable());
            releaseClaim(request.order(), key, claimMayBeWritten);
            return;
        }
        var unused =
                request.reply()
                        .whenComplete((reply, failure) -> recordReply(request.order(), key, reply));
        if (request.isWaiting()) {
            sendOrEnqueue(request);
        }
    }

    private void recordReply(RequestOrder order, String key, RequestReply reply) {
        if (reply.verdict() == Verdict.NOT_RUN) {
            releaseClaim(order, key, true);
            return;
        }
        mClaimRecorder.recordReply(order, key, reply);
        mOpenClaims.decrementAndGet();
    }

    private void releaseClaim(RequestOrder order, String key, boolean claimMayBeWritten) {
        mClaimRecorder.release(order, key, claimMayBeWritten);
        mOpenClaims.decrementAndGet();
    }

    private void sendOrEnqueue(PendingRequest request) {
        ClaimedRequestDispatcher dispatcher = mDispatcher;
        ServiceLoad load = mSlotTracker.load(request.order().service(), 0);
        boolean noFreeSlot = load.inUse() >= load.slots();
        if (dispatcher == null || !noFreeSlot) {
            mEnqueue.accept(request);
            return;
        }
        dispatchToOtherShard(request, dispatcher, load.slots() > 0);
    }

    private void dispatchToOtherShard(
            PendingRequest request, ClaimedRequestDispatcher dispatcher, boolean hasExecutors) {
        if (!mContext.ownership().isConfirmed() || !request.markSent()) {
            request.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        var unused =
                dispatcher
                        .dispatch(withRemainingTime(request), mContext.shard())
                        .whenComplete(
                                (reply, failure) -> onDispatchReply(request, reply, hasExecutors));
    }

    private void onDispatchReply(
            PendingRequest request, @Nullable RequestReply reply, boolean hasExecutors) {
        if (reply == null) {
            request.answer(
                    ReplyFactory.mayHaveRun(
                            RefusalCode.TARGET_FAILED,
                            "the owner of another shard did not answer"));
            return;
        }
        Refusal refusal = reply.refusal();
        boolean notRun = refusal != null && reply.verdict() == Verdict.NOT_RUN;
        if (notRun && hasExecutors && request.markWaiting()) {
            mEnqueue.accept(request);
            return;
        }
        request.answer(reply);
    }

    private RequestOrder withRemainingTime(PendingRequest request) {
        return OrderTimeouts.withTimeout(
                request.order(), Math.max(1, request.remainingMillis(mClock.millis())));
    }
}
