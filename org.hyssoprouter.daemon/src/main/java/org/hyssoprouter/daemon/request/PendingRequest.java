package org.hyssoprouter.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.request.SlotHold;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the state of one request at a {@link RequestScheduler}, from its arrival to its final
 * reply. Safe for use by several threads.
 */
final class PendingRequest {
    private final RequestOrder mOrder;
    private final CustomerPolicy mPolicy;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private final AtomicReference<State> mState = new AtomicReference<>(State.WAITING);
    private final CompletableFuture<RequestReply> mReply = new CompletableFuture<>();
    private volatile @Nullable SlotHold mSlotHold;
    private volatile @Nullable Future<?> mExpiryTask;
    private volatile boolean mMayHaveRun;

    /** Number of executors whose connection broke while they had this request. */
    private final AtomicInteger mBrokenAttempts = new AtomicInteger();

    PendingRequest(RequestOrder order, CustomerPolicy policy, long nowMillis) {
        mOrder = order;
        mPolicy = policy;
        mArrivedMillis = nowMillis;
        mDeadlineMillis = nowMillis + order.timeoutMillis();
    }

    RequestOrder order() {
        return mOrder;
    }

    CustomerPolicy policy() {
        return mPolicy;
    }

    long arrivedMillis() {
        return mArrivedMillis;
    }

    long remainingMillis(long nowMillis) {
        return mDeadlineMillis - nowMillis;
    }

    CompletableFuture<RequestReply> reply() {
        return mReply;
    }

    @Nullable SlotHold slotHold() {
        return mSlotHold;
    }

    void setSlotHold(SlotHold slotHold) {
        mSlotHold = slotHold;
    }

    void setExpiryTask(Future<?> expiryTask) {
        mExpiryTask = expiryTask;
        if (mState.get() == State.ANSWERED) {
            expiryTask.cancel(false);
        }
    }

    boolean isWaiting() {
        return mState.get() == State.WAITING;
    }

    /** Marks the request as sent, just before sending; returns false if it is not waiting. */
    boolean markSent() {
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** Records that an attempt may have run, whatever the outcome of later attempts. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Counts an executor whose connection broke, and returns the number so far. */
    int countBrokenAttempt() {
        return mBrokenAttempts.incrementAndGet();
    }

    /** Marks a sent request as waiting for a retry; returns false if it was answered meanwhile. */
    boolean markWaiting() {
        return mState.compareAndSet(State.SENT, State.WAITING);
    }

    /** Refuses the request if it is waiting; returns false if it was sent or answered. */
    boolean refuseIfUnsent(Refusal refusal) {
        if (!mState.compareAndSet(State.WAITING, State.ANSWERED)) {
            return false;
        }
        complete(RequestReply.refused(refusal));
        return true;
    }

    /** Answers the request; returns false if it was answered before. */
    boolean answer(RequestReply reply) {
        if (mState.getAndSet(State.ANSWERED) == State.ANSWERED) {
            return false;
        }
        complete(reply);
        return true;
    }

    private void complete(RequestReply reply) {
        Future<?> expiryTask = mExpiryTask;
        if (expiryTask != null) {
            expiryTask.cancel(false);
        }
        mReply.complete(mMayHaveRun ? ReplyFactory.asMayHaveRun(reply) : reply);
    }

    /** State of the request; in SENT an executor may have received it. */
    private enum State {
        WAITING,
        SENT,
        ANSWERED
    }
}
