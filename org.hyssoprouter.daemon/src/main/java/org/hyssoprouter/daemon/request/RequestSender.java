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
    private static final String NO_FREE_SLOT_MESSAGE = "slots";
    private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 1_000;
    private static final long ATTEMPT_TIMEOUT_FACTOR = 8;

    private final ShardContext mContext;
    private final SlotTracker mSlotTracker;
    private final ExecutorClient mExecutors;
    private final MonotonicClock mClock;
    private final RetryBudget mRetryBudget = new RetryBudget();
    private final AtomicInteger mInFlight = new AtomicInteger();

    RequestSender(
            ShardContext context,
            SlotTracker ledger,
            ExecutorClient executors,
            MonotonicClock clock) {
        mContext = context;
        mSlotTracker = ledger;
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
        Option<PendingRequest> next = queue.poll();
        while (next.isDefined()) {
            send(next.get(), queue);
            next = queue.poll();
        }
    }

    private void send(PendingRequest run, ServiceQueue queue) {
        SlotHold hold = run.slotHold();
        if (hold == null) {
            throw new IllegalStateException("request without a slot");
        }
        mInFlight.incrementAndGet();
        long nowMillis = mClock.millis();
        long leftMillis = run.remainingMillis(nowMillis);
        if (leftMillis <= 0) {
            run.refuseIfUnsent(ReplyFactory.timeoutBeforeSend());
        }
        // Checked last, so that as little time as possible passes between the check and the send.
        if (!run.isWaiting() || !mContext.ownership().isConfirmed() || !run.markSent()) {
            mSlotTracker.release(hold, false);
            mInFlight.decrementAndGet();
            run.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        mRetryBudget.recordFirstAttempt(run.order().customer(), run.policy().retryBudgetPercent());
        Execution execution =
                new Execution(
                        mContext.shard(),
                        mContext.epoch(),
                        run.order().requestId(),
                        run.order().body(),
                        attemptTimeoutMillis(run, queue, leftMillis));
        var unused =
                mExecutors
                        .execute(hold.executor().address(), execution)
                        .whenComplete(
                                (result, failure) -> {
                                    handleResult(
                                            run, queue, hold, nowMillis, toResult(result, failure));
                                    mInFlight.decrementAndGet();
                                    dispatch(queue);
                                });
    }

    private static long attemptTimeoutMillis(
            PendingRequest run, ServiceQueue queue, long leftMillis) {
        if (!run.order().idempotent()) {
            return leftMillis;
        }
        // Leaves time for a second try over another connection when this one has gone silent.
        long usualMillis =
                ATTEMPT_TIMEOUT_FACTOR * queue.meanServiceMillis(run.order().trafficClass());
        return Math.min(leftMillis, Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, usualMillis));
    }

    private static Either<CallError, Answer> toResult(
            @Nullable Either<CallError, Answer> result, @Nullable Throwable failure) {
        if (result != null) {
            return result;
        }
        return Either.left(CallError.mayHaveRun(CallError.Kind.BROKEN, "call failed: " + failure));
    }

    private void handleResult(
            PendingRequest run,
            ServiceQueue queue,
            SlotHold hold,
            long sentMillis,
            Either<CallError, Answer> result) {
        long nowMillis = mClock.millis();
        if (result.isRight()) {
            mSlotTracker.release(hold, true);
            queue.recordServiceTime(run.order().trafficClass(), nowMillis - sentMillis);
            run.answer(RequestReply.ran(result.get().status(), result.get().body()));
            return;
        }
        CallError error = result.getLeft();
        releaseSlot(hold, error, nowMillis);
        if (error.kind() == CallError.Kind.REFUSED
                && !error.message().equals(NO_FREE_SLOT_MESSAGE)) {
            run.answer(RequestReply.refused(ReplyFactory.notOwner()));
            return;
        }
        if (error.verdict() != Verdict.NOT_RUN) {
            run.markMayHaveRun();
        }
        boolean repeatable = error.verdict() == Verdict.NOT_RUN || run.order().idempotent();
        if (repeatable && retryIfAllowed(run, queue, nowMillis)) {
            return;
        }
        run.answer(ReplyFactory.executorFailure(error));
    }

    private void releaseSlot(SlotHold hold, CallError error, long nowMillis) {
        if (error.verdict() != Verdict.NOT_RUN) {
            mSlotTracker.markOutcomeUnknown(hold, nowMillis);
            return;
        }
        if (error.kind() == CallError.Kind.REFUSED) {
            mSlotTracker.releaseRefused(hold, nowMillis);
            return;
        }
        mSlotTracker.releaseUnreachable(hold, nowMillis);
    }

    private boolean retryIfAllowed(PendingRequest run, ServiceQueue queue, long nowMillis) {
        if (run.remainingMillis(nowMillis) <= 0 || !mRetryBudget.trySpend(run.order().customer())) {
            return false;
        }
        if (!run.markWaiting()) {
            return true;
        }
        queue.offer(run, nowMillis).forEach(run::refuseIfUnsent);
        return true;
    }
}
