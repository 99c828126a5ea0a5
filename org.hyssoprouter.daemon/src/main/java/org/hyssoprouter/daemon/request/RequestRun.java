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
final class RequestRun {
    private final RequestOrder mOrder;
    private final CustomerPolicy mPolicy;
    private final long mArrivedMillis;
    private final long mDeadlineMillis;
    private final AtomicReference<State> mState = new AtomicReference<>(State.WAITING);
    private final CompletableFuture<RequestReply> mReply = new CompletableFuture<>();
    private volatile @Nullable SlotHold mHold;
    private volatile @Nullable Future<?> mTimer;
    private volatile boolean mMayHaveRun;

    RequestRun(RequestOrder order, CustomerPolicy policy, long nowMillis) {
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

    long leftMillis(long nowMillis) {
        return mDeadlineMillis - nowMillis;
    }

    CompletableFuture<RequestReply> reply() {
        return mReply;
    }

    @Nullable SlotHold hold() {
        return mHold;
    }

    void setHold(SlotHold hold) {
        mHold = hold;
    }

    void setTimer(Future<?> timer) {
        mTimer = timer;
        if (mState.get() == State.ANSWERED) {
            timer.cancel(false);
        }
    }

    boolean isWaiting() {
        return mState.get() == State.WAITING;
    }

    /** Marks the request as about to be sent; false if it was answered meanwhile. */
    boolean startSending() {
        return mState.compareAndSet(State.WAITING, State.SENT);
    }

    /** Notes that an earlier try may have run, whatever becomes of the next one. */
    void noteMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Marks the request as waiting for another try; false if it was answered meanwhile. */
    boolean waitAgain() {
        return mState.compareAndSet(State.SENT, State.WAITING);
    }

    /** Answers a request that was not sent; false if it was sent or answered meanwhile. */
    boolean refuseUnsent(Refusal refusal) {
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
        Future<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        mReply.complete(mMayHaveRun ? Replies.asMayHaveRun(reply) : reply);
    }

    /** Whether the request may be with an executor. */
    private enum State {
        WAITING,
        SENT,
        ANSWERED
    }
}
