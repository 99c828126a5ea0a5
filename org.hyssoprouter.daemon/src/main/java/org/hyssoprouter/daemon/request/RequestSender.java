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

/** Sends queued requests to executors with a free slot, and handles the results. */
final class RequestSender {
    // Message of an executor that refuses a request because all of its slots are in use.
    private static final String NO_FREE_SLOT_MESSAGE = "slots";
    private static final long MIN_ATTEMPT_TIMEOUT_MILLIS = 1_000;
    private static final long ATTEMPT_TIMEOUT_FACTOR = 8;

    /** Number of executors that may break off a request before it is taken to crash them. */
    private static final int MAX_BROKEN_ATTEMPTS = 2;

    private final ShardContext mContext;
    private final SlotTracker mSlotTracker;
    private final ExecutorClient mExecutors;
    private final MonotonicClock mClock;
    private final RetryBudget mRetryBudget = new RetryBudget();
    private final AtomicInteger mInFlight = new AtomicInteger();

    RequestSender(
            ShardContext context,
            SlotTracker slotTracker,
            ExecutorClient executors,
            MonotonicClock clock) {
        mContext = context;
        mSlotTracker = slotTracker;
        mExecutors = executors;
        mClock = clock;
    }

    /** Returns the number of requests that were sent and have no result yet. */
    int inFlight() {
        return mInFlight.get();
    }

    /** Sends requests of a queue as long as there are free slots. */
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

    private void send(PendingRequest request, ServiceQueue queue) {
        SlotHold slotHold = request.slotHold();
        if (slotHold == null) {
            throw new IllegalStateException("request holds no slot");
        }
        mInFlight.incrementAndGet();
        long nowMillis = mClock.millis();
        long remainingMillis = request.remainingMillis(nowMillis);
        if (remainingMillis <= 0) {
            request.refuseIfUnsent(ReplyFactory.timeoutBeforeSend());
        }
        // Ownership is checked last, to minimize the time between the check and the send.
        if (!request.isWaiting() || !mContext.ownership().isConfirmed() || !request.markSent()) {
            mSlotTracker.release(slotHold, false);
            mInFlight.decrementAndGet();
            request.refuseIfUnsent(ReplyFactory.notOwner());
            return;
        }
        mRetryBudget.recordFirstAttempt(
                request.order().customer(), request.policy().retryBudgetPercent());
        Execution execution =
                new Execution(
                        mContext.shard(),
                        mContext.epoch(),
                        request.order().requestId(),
                        request.order().body(),
                        attemptTimeoutMillis(request, queue, remainingMillis));
        var unused =
                mExecutors
                        .execute(slotHold.executor().address(), execution)
                        .whenComplete(
                                (result, failure) -> {
                                    handleResult(
                                            request,
                                            queue,
                                            slotHold,
                                            nowMillis,
                                            toResult(result, failure));
                                    mInFlight.decrementAndGet();
                                    dispatch(queue);
                                });
    }

    private static long attemptTimeoutMillis(
            PendingRequest request, ServiceQueue queue, long remainingMillis) {
        if (!request.order().idempotent()) {
            return remainingMillis;
        }
        // Leaves time for a retry on another connection if this one no longer responds.
        long typicalMillis =
                ATTEMPT_TIMEOUT_FACTOR * queue.meanServiceMillis(request.order().trafficClass());
        return Math.min(remainingMillis, Math.max(MIN_ATTEMPT_TIMEOUT_MILLIS, typicalMillis));
    }

    private static Either<CallError, Answer> toResult(
            @Nullable Either<CallError, Answer> result, @Nullable Throwable failure) {
        if (result != null) {
            return result;
        }
        return Either.left(
                CallError.mayHaveRun(
                        CallError.Kind.BROKEN, "call to the executor failed: " + failure));
    }

    private void handleResult(
            PendingRequest request,
            ServiceQueue queue,
            SlotHold slotHold,
            long sentMillis,
            Either<CallError, Answer> result) {
        long nowMillis = mClock.millis();
        if (result.isRight()) {
            mSlotTracker.release(slotHold, true);
            queue.recordServiceTime(request.order().trafficClass(), nowMillis - sentMillis);
            request.answer(RequestReply.ran(result.get().status(), result.get().body()));
            return;
        }
        CallError error = result.getLeft();
        releaseSlot(slotHold, error, nowMillis);
        if (error.kind() == CallError.Kind.REFUSED
                && !error.message().equals(NO_FREE_SLOT_MESSAGE)) {
            request.answer(RequestReply.refused(ReplyFactory.notOwner()));
            return;
        }
        if (error.verdict() != Verdict.NOT_RUN) {
            request.markMayHaveRun();
        }
        boolean broken =
                error.verdict() == Verdict.MAY_HAVE_RUN && error.kind() == CallError.Kind.BROKEN;
        if (broken && request.countBrokenAttempt() >= MAX_BROKEN_ATTEMPTS) {
            request.answer(ReplyFactory.executorsBroke(MAX_BROKEN_ATTEMPTS));
            return;
        }
        boolean canRetry = error.verdict() == Verdict.NOT_RUN || request.order().idempotent();
        if (canRetry && retryIfAllowed(request, queue, nowMillis)) {
            return;
        }
        request.answer(ReplyFactory.executorFailure(error));
    }

    private void releaseSlot(SlotHold slotHold, CallError error, long nowMillis) {
        if (error.verdict() != Verdict.NOT_RUN) {
            mSlotTracker.markOutcomeUnknown(slotHold, nowMillis);
            return;
        }
        if (error.kind() == CallError.Kind.REFUSED) {
            mSlotTracker.releaseRefused(slotHold, nowMillis);
            return;
        }
        mSlotTracker.releaseUnreachable(slotHold, nowMillis);
    }

    private boolean retryIfAllowed(PendingRequest request, ServiceQueue queue, long nowMillis) {
        if (request.remainingMillis(nowMillis) <= 0
                || !mRetryBudget.trySpend(request.order().customer())) {
            return false;
        }
        if (!request.markWaiting()) {
            return true;
        }
        queue.offer(request, nowMillis).forEach(request::refuseIfUnsent);
        return true;
    }
}
