package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.util.Service;

/**
 * HTTP client that tells for each failure whether the call may have reached the far side. It never
 * repeats a call by itself.
 *
 * @since 0.1
 */
public final class HttpCaller implements Service {
    private static final int MAX_CALLS = 1024;

    /** Two for each of 250 workers, and those to the store; with fewer, each call opens one. */
    private static final int MAX_IDLE_CONNECTIONS = 1_024;

    // Short, so that a connection which a device in between has forgotten is seldom used again.
    private static final long IDLE_CONNECTION_SECONDS = 5;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    private final OkHttpClient mClient;
    private final ExecutorService mThreads;

    /**
     * Creates a caller.
     *
     * @param threads threads that wait for answers, one for each open call
     * @param maxCallsPerTarget calls that may be open to one address at once
     */
    public HttpCaller(ExecutorService threads, int maxCallsPerTarget) {
        mThreads = threads;
        Dispatcher dispatcher = new Dispatcher(threads);
        dispatcher.setMaxRequests(MAX_CALLS);
        dispatcher.setMaxRequestsPerHost(maxCallsPerTarget);
        mClient =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(
                                        MAX_IDLE_CONNECTIONS,
                                        IDLE_CONNECTION_SECONDS,
                                        TimeUnit.SECONDS))
                        .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .readTimeout(0, TimeUnit.MILLISECONDS)
                        .writeTimeout(0, TimeUnit.MILLISECONDS)
                        // The library's own repeat could run a non-idempotent request twice.
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .eventListenerFactory(HttpCaller::newEventListener)
                        .build();
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        mClient.dispatcher().cancelAll();
        mThreads.shutdown();
        mClient.connectionPool().evictAll();
    }

    /** Closes idle connections, so that the next call opens a fresh one. */
    public void evictIdleConnections() {
        mClient.connectionPool().evictAll();
    }

    /**
     * Makes a call and waits for its answer.
     *
     * @param timeoutMillis time for the whole call
     */
    public Either<CallError, HttpReply> callAndWait(Request request, long timeoutMillis) {
        SendTracker mark = new SendTracker();
        Call call = prepare(request, timeoutMillis, mark);
        try (Response response = call.execute()) {
            return Either.right(HttpReply.of(response));
        } catch (IOException e) {
            return Either.left(errorOf(e, mark));
        }
    }

    /**
     * Makes a call without waiting.
     *
     * @param timeoutMillis time for the whole call
     */
    public CompletableFuture<Either<CallError, HttpReply>> call(
            Request request, long timeoutMillis) {
        SendTracker mark = new SendTracker();
        CompletableFuture<Either<CallError, HttpReply>> result = new CompletableFuture<>();
        prepare(request, timeoutMillis, mark)
                .enqueue(
                        new Callback() {
                            @Override
                            public void onFailure(Call call, IOException e) {
                                result.complete(Either.left(errorOf(e, mark)));
                            }

                            @Override
                            public void onResponse(Call call, Response response) {
                                result.complete(read(response, mark));
                            }
                        });
        return result;
    }

    private Call prepare(Request request, long timeoutMillis, SendTracker mark) {
        Request marked = request.newBuilder().tag(SendTracker.class, mark).build();
        Call call = mClient.newCall(marked);
        call.timeout().timeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
        return call;
    }

    private static Either<CallError, HttpReply> read(Response response, SendTracker mark) {
        try (response) {
            return Either.right(HttpReply.of(response));
        } catch (IOException e) {
            return Either.left(errorOf(e, mark));
        }
    }

    private static CallError errorOf(IOException e, SendTracker mark) {
        String message = e.getClass().getSimpleName() + ": " + e.getMessage();
        if (!mark.isSent()) {
            return CallError.notRun(CallError.Kind.UNREACHABLE, message);
        }
        if (e instanceof InterruptedIOException) {
            return CallError.mayHaveRun(CallError.Kind.TIMEOUT, message);
        }
        return CallError.mayHaveRun(CallError.Kind.BROKEN, message);
    }

    private static EventListener newEventListener(Call call) {
        SendTracker mark = call.request().tag(SendTracker.class);
        return new EventListener() {
            @Override
            public void requestHeadersStart(Call started) {
                if (mark != null) {
                    mark.markSent();
                }
            }
        };
    }

    /** Remembers whether the first byte of a call may have gone out. */
    private static final class SendTracker {
        private final AtomicBoolean mSent = new AtomicBoolean();

        void markSent() {
            mSent.set(true);
        }

        boolean isSent() {
            return mSent.get();
        }
    }
}
