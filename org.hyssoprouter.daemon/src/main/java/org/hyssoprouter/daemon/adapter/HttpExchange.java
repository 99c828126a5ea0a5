package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.Timeout;
import org.hyssoprouter.errors.CallError;
import org.jspecify.annotations.Nullable;

/**
 * One HTTP call. It ends exactly once: with the answer, a failure or its timeout, whichever comes
 * first.
 */
final class HttpExchange {
    private enum SendState {
        WAITING,
        SENT,
        /** The call ended before the request was sent; it must not be sent any more. */
        ABANDONED
    }

    private final HttpRequest mRequest;
    private final Executor mCallbacks;
    private final CompletableFuture<Either<CallError, HttpReply>> mResult =
            new CompletableFuture<>();
    private final AtomicReference<SendState> mSendState = new AtomicReference<>(SendState.WAITING);
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private volatile @Nullable AsyncClientEndpoint mEndpoint;
    private volatile @Nullable HttpReplyConsumer mConsumer;
    private volatile @Nullable Future<?> mTimer;

    /**
     * Creates a call.
     *
     * @param callbacks completes the result
     */
    HttpExchange(HttpRequest request, Executor callbacks) {
        mRequest = request;
        mCallbacks = callbacks;
    }

    CompletableFuture<Either<CallError, HttpReply>> result() {
        return mResult;
    }

    /** Returns the size of the answer's body received so far, in bytes. */
    long receivedBytes() {
        HttpReplyConsumer consumer = mConsumer;
        return consumer == null ? 0 : consumer.receivedBytes();
    }

    /** Sets the timer that expires this call; it is cancelled when the call ends. */
    void setTimer(Future<?> timer) {
        mTimer = timer;
        if (mEnded.get()) {
            timer.cancel(false);
        }
    }

    /**
     * Sends the request as soon as there is a connection for it. The wait for one is not cancelled
     * if the call ends before: the connection then serves other calls.
     */
    void start(HttpConnector connector, HttpHost host, long timeoutMillis) {
        Future<AsyncClientEndpoint> unused =
                connector.connect(
                        host,
                        Timeout.ofMilliseconds(timeoutMillis),
                        null,
                        new Callback<AsyncClientEndpoint>() {
                            @Override
                            public void completed(AsyncClientEndpoint endpoint) {
                                send(endpoint, host);
                            }
                        });
    }

    private void send(AsyncClientEndpoint endpoint, HttpHost host) {
        mEndpoint = endpoint;
        if (mEnded.get()) {
            endpoint.releaseAndReuse();
            return;
        }
        HttpReplyConsumer consumer = new HttpReplyConsumer();
        mConsumer = consumer;
        try {
            Future<HttpReply> unused =
                    endpoint.execute(
                            new Producer(host),
                            consumer,
                            new Callback<HttpReply>() {
                                @Override
                                public void completed(HttpReply reply) {
                                    succeed(reply, !consumer.endsConnection());
                                }
                            });
        } catch (RuntimeException e) {
            // For instance, the timeout has released the connection in the meantime.
            fail(e);
        }
    }

    private void succeed(HttpReply reply, boolean reusable) {
        if (!mEnded.compareAndSet(false, true)) {
            return;
        }
        AsyncClientEndpoint endpoint = mEndpoint;
        if (endpoint != null && reusable) {
            endpoint.releaseAndReuse();
        }
        finish(Either.right(reply));
    }

    /** Ends the call because its time is over. */
    void expire() {
        end(CallError.Kind.TIMEOUT, "timeout");
    }

    /** Ends the call with a failure. */
    void fail(Exception cause) {
        if (!mEnded.get()) {
            end(
                    CallError.Kind.BROKEN,
                    cause.getClass().getSimpleName() + ": " + cause.getMessage());
        }
    }

    private void end(CallError.Kind kindIfSent, String message) {
        if (!mEnded.compareAndSet(false, true)) {
            return;
        }
        boolean unsent = mSendState.compareAndSet(SendState.WAITING, SendState.ABANDONED);
        finish(
                Either.left(
                        unsent
                                ? CallError.notRun(CallError.Kind.UNREACHABLE, message)
                                : CallError.mayHaveRun(kindIfSent, message)));
    }

    private void finish(Either<CallError, HttpReply> result) {
        Future<?> timer = mTimer;
        if (timer != null) {
            timer.cancel(false);
        }
        AsyncClientEndpoint endpoint = mEndpoint;
        if (endpoint != null) {
            // Has no effect on a connection that was released for reuse.
            endpoint.releaseAndDiscard();
        }
        try {
            mCallbacks.execute(() -> mResult.complete(result));
        } catch (RejectedExecutionException e) {
            mResult.complete(result);
        }
    }

    /** Writes the request unless the call has ended. */
    private final class Producer extends BasicRequestProducer {
        Producer(HttpHost host) {
            super(encode(mRequest, host), encodeBody(mRequest));
        }

        @Override
        public void sendRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            if (!mSendState.compareAndSet(SendState.WAITING, SendState.SENT)) {
                throw new ConnectionClosedException("call has ended");
            }
            super.sendRequest(channel, context);
        }
    }

    private static BasicHttpRequest encode(HttpRequest request, HttpHost host) {
        BasicHttpRequest encoded = new BasicHttpRequest(request.method(), host, request.path());
        request.headers().forEach(encoded::addHeader);
        return encoded;
    }

    private static @Nullable BasicAsyncEntityProducer encodeBody(HttpRequest request) {
        byte[] body = request.body();
        return body == null ? null : new BasicAsyncEntityProducer(body, null);
    }

    /** Fails the call if the step fails. */
    private abstract class Callback<T> implements FutureCallback<T> {
        @Override
        public void failed(Exception cause) {
            fail(cause);
        }

        @Override
        public void cancelled() {
            fail(new ConnectionClosedException("connection was closed"));
        }
    }
}
