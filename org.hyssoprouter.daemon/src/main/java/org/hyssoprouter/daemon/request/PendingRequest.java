package org.hyssoprouter.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicReference;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.request.SlotHold;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.jspecify.annotations.Nullable;

/** One request at the desk, from its arrival to its final answer. */
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

    void setSlotHold(SlotHold hold) {
        mSlotHold = hold;
    }

    void setExpiryTask(Future<?> timer) {
        mExpiryTask = timer;
        if (mState.get() == State.ANSWERED) {
            timer.cancel(false);
        }
    }

    boolean isWaiting() {
        return mState.get() == State.WAITING;
    }

    /** Marks the request as about to be sent; false if it was answered meanwhile. */
    boolean markSent() {
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** Notes that an earlier try may have run, whatever becomes of the next one. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Marks the request as waiting for another try; false if it was answered meanwhile. */
    boolean markWaiting() {
        return mState.compareAndSet(State.SENT, State.WAITING);
    }

    /** Answers a request that was not sent; false if it was sent or answered meanwhile. */
    boolean refuseIfUnsent(Refusal refusal) {
        if (!mState.compareAndSet(State.WAITING, State.ANSWERED)) {
            return false;
        }
        complete(RequestReply.refused(refusal));
        return true;
    }

    /** Answers the request unless it was answered before. */
    boolean answer(RequestReply reply) {
        if (mState.getAndSet(State.ANSWERED) == State.ANSWERED) {
            return false;
        }
        complete(reply);
        return true;
    }

    private void complete(RequestReply reply) {
        Future<?> timer = mExpiryTask;
        if (timer != null) {
            timer.cancel(false);
        }
        mReply.complete(mMayHaveRun ? ReplyFactory.asMayHaveRun(reply) : reply);
    }

    /** Whether the request may be with an executor. */
    private enum State {
        WAITING,
        SENT,
        ANSWERED
    }
}
