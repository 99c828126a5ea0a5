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

/** Runs non-idempotent requests that bring a key: claim, durable, send, outcome kept. */
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
            ClaimRecorder claims,
            SlotTracker ledger,
            MonotonicClock clock,
            Consumer<PendingRequest> enqueue) {
        mContext = context;
        mClaimRecorder = claims;
        mSlotTracker = ledger;
        mClock = clock;
        mEnqueue = enqueue;
    }

    void setDispatcher(ClaimedRequestDispatcher dispatch) {
        mDispatcher = dispatch;
    }

    /** Returns whether the outcome of a claim made here is still open. */
    boolean hasOpenClaims() {
        return mOpenClaims.get() > 0;
    }

    /** Starts a request under its key, or answers it from what is known of the key. */
    void start(PendingRequest run, String key) {
        if (!mContext.ownership().isConfirmed()) {
            run.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        ClaimResult answer = mClaimRecorder.claim(run.order(), key);
        if (answer instanceof ClaimResult.Claimed claimed) {
            mOpenClaims.incrementAndGet();
            writeClaim(run, key, claimed);
            return;
        }
        run.answer(replyTo(answer));
    }

    private RequestReply replyTo(ClaimResult answer) {
        if (answer instanceof ClaimResult.Settled settled) {
            return ReplyFactory.fromOutcome(settled.outcome());
        }
        if (answer instanceof ClaimResult.InProgress) {
            return ReplyFactory.inProgress(IN_PROGRESS_RETRY_AFTER_MILLIS);
        }
        if (answer instanceof ClaimResult.BodyMismatch) {
            return ReplyFactory.notRun(
                    RefusalCode.CONFLICT, "the idempotency key was used with another body");
        }
        if (answer instanceof ClaimResult.Full full) {
            return ReplyFactory.retryLater(
                    RefusalCode.OVER_LIMIT,
                    "no further idempotency key can be kept",
                    full.retryAfterMillis());
        }
        return ReplyFactory.keyExpired();
    }

    private void writeClaim(PendingRequest run, String key, ClaimResult.Claimed claimed) {
        long leftMillis = run.remainingMillis(mClock.millis());
        long withinMillis = Math.max(1, Math.min(MAX_CLAIM_WRITE_MILLIS, leftMillis));
        var unused =
                mClaimRecorder
                        .appendClaim(claimed.event(), withinMillis)
                        .whenComplete((result, failure) -> onClaimWritten(run, key, result));
    }

    private void onClaimWritten(
            PendingRequest run, String key, @Nullable Either<TableError, Boolean> result) {
        if (result == null || result.isLeft()) {
            boolean unknown = result == null || result.getLeft().kind() == TableError.Kind.UNKNOWN;
            run.refuseIfUnsent(ReplyFactory.tableUnavailable());
            releaseClaim(run.order(), key, unknown);
            return;
        }
        var unused =
                run.reply().whenComplete((reply, failure) -> recordReply(run.order(), key, reply));
        if (run.isWaiting()) {
            sendOrEnqueue(run);
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

    private void sendOrEnqueue(PendingRequest run) {
        ClaimedRequestDispatcher dispatch = mDispatcher;
        ServiceLoad load = mSlotTracker.load(run.order().service(), 0);
        boolean full = load.inUse() >= load.slots();
        if (dispatch == null || !full) {
            mEnqueue.accept(run);
            return;
        }
        dispatchToOtherShard(run, dispatch, load.slots() > 0);
    }

    private void dispatchToOtherShard(
            PendingRequest run, ClaimedRequestDispatcher dispatch, boolean hasExecutors) {
        if (!mContext.ownership().isConfirmed() || !run.markSent()) {
            run.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        var unused =
                dispatch.dispatch(withRemainingTime(run), mContext.shard())
                        .whenComplete(
                                (reply, failure) -> onDispatchReply(run, reply, hasExecutors));
    }

    private void onDispatchReply(
            PendingRequest run, @Nullable RequestReply reply, boolean hasExecutors) {
        if (reply == null) {
            run.answer(
                    ReplyFactory.mayHaveRun(
                            RefusalCode.TARGET_FAILED, "the other owner did not answer"));
            return;
        }
        Refusal refusal = reply.refusal();
        boolean notRun = refusal != null && reply.verdict() == Verdict.NOT_RUN;
        if (notRun && hasExecutors && run.markWaiting()) {
            mEnqueue.accept(run);
            return;
        }
        run.answer(reply);
    }

    private RequestOrder withRemainingTime(PendingRequest run) {
        return OrderTimeouts.withTimeout(
                run.order(), Math.max(1, run.remainingMillis(mClock.millis())));
    }
}
