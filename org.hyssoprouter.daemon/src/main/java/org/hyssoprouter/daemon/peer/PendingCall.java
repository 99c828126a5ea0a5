package org.hyssoprouter.daemon.peer;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/** Call that has not completed yet; used only on the event loop of its connection. */
final class PendingCall {
    private final long mId;
    private final OutgoingMessage mMessage;
    private final CompletableFuture<Either<CallError, byte[]>> mResult = new CompletableFuture<>();
    private @Nullable Future<?> mTimer;

    PendingCall(long id, int type, TrafficClass trafficClass, byte[] payload) {
        mId = id;
        mMessage = new OutgoingMessage(Frame.Kind.CALL, id, type, trafficClass, payload);
    }

    long id() {
        return mId;
    }

    OutgoingMessage message() {
        return mMessage;
    }

    CompletableFuture<Either<CallError, byte[]>> result() {
        return mResult;
    }

    void setTimer(Future<?> timer) {
        mTimer = timer;
    }

    /** Completes the call with an answer. */
    void succeed(byte[] answer) {
        finish(Either.right(answer));
    }

    /** Completes the call with a failure and the verdict {@code NOT_RUN}. */
    void reject(CallError.Kind kind, String message) {
        finish(Either.left(CallError.notRun(kind, message)));
    }

    /**
     * Completes the call with a failure. The verdict is {@code MAY_HAVE_RUN} if the whole call was
     * written, else {@code NOT_RUN}, since a peer does not handle an incomplete call.
     */
    void fail(CallError.Kind kind, String message) {
        CallError error =
                mMessage.isFullySent()
                        ? CallError.mayHaveRun(kind, message)
                        : CallError.notRun(kind, message);
        finish(Either.left(error));
    }

    private void finish(Either<CallError, byte[]> outcome) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        mResult.complete(outcome);
    }
}
