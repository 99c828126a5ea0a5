package org.hyssoprouter.daemon.request;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.RetryBudget;
import org.hyssoprouter.internal.request.SlotHold;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.ExecutorClient.Answer;
import org.hyssoprouter.transport.ExecutorClient.Execution;
import org.hyssoprouter.transport.RequestReply;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/** Sends requests that hold a slot, and settles what became of them. */
final class RequestSender {
    // Text with which an executor refuses because all of its slots are in use.
    private static final String SLOTS_REFUSED = "slots";
    private static final long MIN_ATTEMPT_MILLIS = 1_000;
    private static final long ATTEMPT_SERVICE_TIMES = 8;

    private final ShardContext mContext;
    private final SlotTracker mLedger;
    private final ExecutorClient mExecutors;
    private final MonotonicClock mClock;
    private final RetryBudget mRetries = new RetryBudget();
    private final AtomicInteger mInFlight = new AtomicInteger();

    RequestSender(
            ShardContext context,
            SlotTracker ledger,
            ExecutorClient executors,
            MonotonicClock clock) {
        mContext = context;
        mLedger = ledger;
        mExecutors = executors;
        mClock = clock;
    }

    /** Returns the requests that are with an executor. */
    int inFlight() {
        return mInFlight.get();
    }

    /** Sends all requests of a queue that can start. */
    void dispatch(ServiceQueue queue) {
        if (!mContext.ownership().isConfirmed()) {
            return;
        }
        Option<RequestRun> next = queue.poll();
        while (next.isDefined()) {
            send(next.get(), queue);
            next = queue.poll();
        }
    }

    private void send(RequestRun run, ServiceQueue queue) {
        SlotHold hold = run.hold();
        if (hold == null) {
            throw new IllegalStateException("request without a slot");
        }
        mInFlight.incrementAndGet();
        long nowMillis = mClock.millis();
        long leftMillis = run.leftMillis(nowMillis);
        if (leftMillis <= 0) {
            run.refuseUnsent(Replies.timeoutUnsent());
        }
        // Checked last, so that as little time as possible passes between the check and the send.
        if (!run.isWaiting() || !mContext.ownership().isConfirmed() || !run.startSending()) {
            mLedger.release(hold, false);
            mInFlight.decrementAndGet();
            run.refuseUnsent(Replies.notOwner());
            return;
        }
        mRetries.recordFirstAttempt(run.order().customer(), run.policy().retryBudgetPercent());
        Execution execution =
                new Execution(
                        mContext.shard(),
                        mContext.epoch(),
                        run.order().requestId(),
                        run.order().body(),
                        attemptMillis(run, queue, leftMillis));
        var unused =
                mExecutors
                        .execute(hold.executor().address(), execution)
                        .whenComplete(
                                (result, failure) -> {
                                    settle(run, queue, hold, nowMillis, orBroken(result, failure));
                                    mInFlight.decrementAndGet();
                                    dispatch(queue);
                                });
    }

    private static long attemptMillis(RequestRun run, ServiceQueue queue, long leftMillis) {
        if (!run.order().idempotent()) {
            return leftMillis;
        }
        // Leaves time for a second try over another connection when this one has gone silent.
        long usualMillis = ATTEMPT_SERVICE_TIMES * queue.meanMillis(run.order().trafficClass());
        return Math.min(leftMillis, Math.max(MIN_ATTEMPT_MILLIS, usualMillis));
    }

    private static Either<CallError, Answer> orBroken(
            @Nullable Either<CallError, Answer> result, @Nullable Throwable failure) {
        if (result != null) {
            return result;
        }
        return Either.left(CallError.mayHaveRun(CallError.Kind.BROKEN, "call failed: " + failure));
    }

    private void settle(
            RequestRun run,
            ServiceQueue queue,
            SlotHold hold,
            long sentMillis,
            Either<CallError, Answer> result) {
        long nowMillis = mClock.millis();
        if (result.isRight()) {
            mLedger.release(hold, true);
            queue.served(run.order().trafficClass(), nowMillis - sentMillis);
            run.answer(RequestReply.ran(result.get().status(), result.get().body()));
            return;
        }
        CallError error = result.getLeft();
        settleSlot(hold, error, nowMillis);
        if (error.kind() == CallError.Kind.REFUSED && !error.message().equals(SLOTS_REFUSED)) {
            run.answer(RequestReply.refused(Replies.notOwner()));
            return;
        }
        if (error.verdict() != Verdict.NOT_RUN) {
            run.noteMayHaveRun();
        }
        boolean repeatable = error.verdict() == Verdict.NOT_RUN || run.order().idempotent();
        if (repeatable && tryAgain(run, queue, nowMillis)) {
            return;
        }
        run.answer(Replies.failed(error));
    }

    private void settleSlot(SlotHold hold, CallError error, long nowMillis) {
        if (error.verdict() != Verdict.NOT_RUN) {
            mLedger.markOutcomeUnknown(hold, nowMillis);
            return;
        }
        if (error.kind() == CallError.Kind.REFUSED) {
            mLedger.releaseRefused(hold, nowMillis);
            return;
        }
        mLedger.releaseUnreachable(hold, nowMillis);
    }

    private boolean tryAgain(RequestRun run, ServiceQueue queue, long nowMillis) {
        if (run.leftMillis(nowMillis) <= 0 || !mRetries.trySpend(run.order().customer())) {
            return false;
        }
        if (!run.waitAgain()) {
            return true;
        }
        queue.offer(run, nowMillis).forEach(run::refuseUnsent);
        return true;
    }
}
