package org.hyssoprouter.daemon.peer;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/** A call that waits for its answer; used on the event loop of its connection only. */
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

    /** Ends the call with an answer. */
    void succeed(byte[] answer) {
        finish(Either.right(answer));
    }

    /** Ends the call with a failure that is known to be without effect. */
    void reject(CallError.Kind kind, String message) {
        finish(Either.left(CallError.notRun(kind, message)));
    }

    /** Ends the call with a failure whose verdict follows from how much of it was written. */
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
