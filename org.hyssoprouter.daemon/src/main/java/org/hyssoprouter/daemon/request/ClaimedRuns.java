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
final class ClaimedRuns {
    private static final long MAX_CLAIM_WAIT_MILLIS = 1_000;
    private static final long MIN_RETRY_MILLIS = 100;

    private final ShardContext mContext;
    private final ClaimDesk mClaims;
    private final SlotTracker mLedger;
    private final MonotonicClock mClock;
    private final Consumer<RequestRun> mEnqueue;
    private final AtomicInteger mOpen = new AtomicInteger();
    private volatile @Nullable ClaimedDispatch mDispatch;

    ClaimedRuns(
            ShardContext context,
            ClaimDesk claims,
            SlotTracker ledger,
            MonotonicClock clock,
            Consumer<RequestRun> enqueue) {
        mContext = context;
        mClaims = claims;
        mLedger = ledger;
        mClock = clock;
        mEnqueue = enqueue;
    }

    void setDispatch(ClaimedDispatch dispatch) {
        mDispatch = dispatch;
    }

    /** Returns whether the outcome of a claim made here is still open. */
    boolean isBusy() {
        return mOpen.get() > 0;
    }

    /** Starts a request under its key, or answers it from what is known of the key. */
    void start(RequestRun run, String key) {
        if (!mContext.ownership().isConfirmed()) {
            run.refuseUnsent(Replies.notOwner());
            return;
        }
        ClaimResult answer = mClaims.claim(run.order(), key);
        if (answer instanceof ClaimResult.Claimed claimed) {
            mOpen.incrementAndGet();
            write(run, key, claimed);
            return;
        }
        run.answer(replyTo(answer));
    }

    private RequestReply replyTo(ClaimResult answer) {
        if (answer instanceof ClaimResult.Settled settled) {
            return Replies.stored(settled.outcome());
        }
        if (answer instanceof ClaimResult.InProgress) {
            return Replies.inProgress(MIN_RETRY_MILLIS);
        }
        if (answer instanceof ClaimResult.BodyMismatch) {
            return Replies.notRun(
                    RefusalCode.CONFLICT, "the idempotency key was used with another body");
        }
        if (answer instanceof ClaimResult.Full full) {
            return Replies.later(
                    RefusalCode.OVER_LIMIT,
                    "no further idempotency key can be kept",
                    full.retryAfterMillis());
        }
        return Replies.keyExpired();
    }

    private void write(RequestRun run, String key, ClaimResult.Claimed claimed) {
        long leftMillis = run.leftMillis(mClock.millis());
        long withinMillis = Math.max(1, Math.min(MAX_CLAIM_WAIT_MILLIS, leftMillis));
        var unused =
                mClaims.write(claimed.event(), withinMillis)
                        .whenComplete((result, failure) -> written(run, key, result));
    }

    private void written(RequestRun run, String key, @Nullable Either<TableError, Boolean> result) {
        if (result == null || result.isLeft()) {
            boolean unknown = result == null || result.getLeft().kind() == TableError.Kind.UNKNOWN;
            run.refuseUnsent(Replies.tableOut());
            finish(run.order(), key, unknown);
            return;
        }
        var unused = run.reply().whenComplete((reply, failure) -> settle(run.order(), key, reply));
        if (run.isWaiting()) {
            send(run);
        }
    }

    private void settle(RequestOrder order, String key, RequestReply reply) {
        if (reply.verdict() == Verdict.NOT_RUN) {
            finish(order, key, true);
            return;
        }
        mClaims.keep(order, key, reply);
        mOpen.decrementAndGet();
    }

    private void finish(RequestOrder order, String key, boolean claimMayBeWritten) {
        mClaims.release(order, key, claimMayBeWritten);
        mOpen.decrementAndGet();
    }

    private void send(RequestRun run) {
        ClaimedDispatch dispatch = mDispatch;
        ServiceLoad load = mLedger.load(run.order().service(), 0);
        boolean full = load.inUse() >= load.slots();
        if (dispatch == null || !full) {
            mEnqueue.accept(run);
            return;
        }
        sendElsewhere(run, dispatch, load.slots() > 0);
    }

    private void sendElsewhere(RequestRun run, ClaimedDispatch dispatch, boolean hasExecutors) {
        if (!mContext.ownership().isConfirmed() || !run.startSending()) {
            run.refuseUnsent(Replies.notOwner());
            return;
        }
        var unused =
                dispatch.dispatch(withTimeLeft(run), mContext.shard())
                        .whenComplete((reply, failure) -> answered(run, reply, hasExecutors));
    }

    private void answered(RequestRun run, @Nullable RequestReply reply, boolean hasExecutors) {
        if (reply == null) {
            run.answer(
                    Replies.mayHaveRun(
                            RefusalCode.TARGET_FAILED, "the other owner did not answer"));
            return;
        }
        Refusal refusal = reply.refusal();
        boolean notRun = refusal != null && reply.verdict() == Verdict.NOT_RUN;
        if (notRun && hasExecutors && run.waitAgain()) {
            mEnqueue.accept(run);
            return;
        }
        run.answer(reply);
    }

    private RequestOrder withTimeLeft(RequestRun run) {
        return Orders.withTimeout(run.order(), Math.max(1, run.leftMillis(mClock.millis())));
    }
}
