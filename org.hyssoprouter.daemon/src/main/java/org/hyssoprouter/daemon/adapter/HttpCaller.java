package org.hyssoprouter.daemon.adapter;

import io.vavr.control.Either;
import java.net.URISyntaxException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.util.Service;

/**
 * HTTP client that reports for each failed call whether the server may have processed it. Never
 * retries a call. One thread serves all connections, another one the timeouts.
 *
 * @since 0.1
 */
public final class HttpCaller implements Service {
    private static final long EXPIRY_INTERVAL_MILLIS = 1_000;

    private final HttpConnector mConnector;
    private final Executor mCallbacks;
    private final ScheduledThreadPoolExecutor mTimer;
    private final Set<HttpExchange> mOpenCalls = ConcurrentHashMap.newKeySet();
    private volatile boolean mStopped;

    /**
     * Creates the client.
     *
     * @param callbacks completes the results of calls; if it does so on the calling thread, then
     *     whatever follows a result must not block
     * @param maxCallsPerAddress maximum number of concurrent calls to one address
     */
    public HttpCaller(Executor callbacks, int maxCallsPerAddress) {
        mCallbacks = callbacks;
        mConnector = HttpConnector.create(maxCallsPerAddress);
        mTimer =
                new ScheduledThreadPoolExecutor(
                        1, HttpCaller::newTimerThread, new ThreadPoolExecutor.DiscardPolicy());
        mTimer.setRemoveOnCancelPolicy(true);
    }

    private static Thread newTimerThread(Runnable task) {
        Thread thread = new Thread(task, "http-timeout");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void start() {
        mConnector.start();
        ScheduledFuture<?> unused =
                mTimer.scheduleWithFixedDelay(
                        mConnector::closeExpired,
                        EXPIRY_INTERVAL_MILLIS,
                        EXPIRY_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Ends all open calls with a failure and closes all connections. */
    @Override
    public void stop() {
        mStopped = true;
        mTimer.shutdownNow();
        mOpenCalls.forEach(HttpCaller::failStopped);
        mConnector.close(CloseMode.IMMEDIATE);
    }

    private static void failStopped(HttpExchange exchange) {
        exchange.fail(new ConnectionClosedException("HTTP client is stopped"));
    }

    /** Closes all idle connections, so that the next call opens a new one. */
    public void evictIdleConnections() {
        mConnector.closeUnused();
    }

    /**
     * Closes the idle connections to one address, so that the next call to it opens a new one. Does
     * nothing if the address is invalid.
     */
    public void evictIdleConnections(String address) {
        try {
            mConnector.closeUnused(HttpHost.create(address));
        } catch (URISyntaxException e) {
            // No connection can have been opened to such an address.
            return;
        }
    }

    /**
     * Makes a call and blocks until it ends. Must not be called where a result is completed.
     *
     * @param timeoutMillis timeout of the whole call, see {@link #call}
     */
    public Either<CallError, HttpReply> callAndWait(HttpRequest request, long timeoutMillis) {
        return call(request, timeoutMillis).join();
    }

    /**
     * Makes a call asynchronously. The result never completes exceptionally.
     *
     * @param timeoutMillis timeout of the whole call, including the wait for a free connection,
     *     connecting and reading the answer
     */
    public CompletableFuture<Either<CallError, HttpReply>> call(
            HttpRequest request, long timeoutMillis) {
        return call(request, timeoutMillis, timeoutMillis, timeoutMillis);
    }

    /**
     * Makes a call whose answer may be large. The timeout applies until the answer begins; from
     * then on the call goes on while more of the answer arrives.
     *
     * @param timeoutMillis timeout until the answer begins
     * @param silenceMillis longest time without a further part of the answer
     * @param maxMillis timeout of the whole call
     */
    public CompletableFuture<Either<CallError, HttpReply>> call(
            HttpRequest request, long timeoutMillis, long silenceMillis, long maxMillis) {
        HttpExchange exchange = new HttpExchange(request, mCallbacks);
        mOpenCalls.add(exchange);
        CompletableFuture<Either<CallError, HttpReply>> result =
                exchange.result().whenComplete((reply, failure) -> mOpenCalls.remove(exchange));
        long positiveMillis = Math.max(1, timeoutMillis);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
        schedule(exchange, positiveMillis, silenceMillis, endNanos);
        try {
            exchange.start(mConnector, HttpHost.create(request.address()), positiveMillis);
        } catch (URISyntaxException | RuntimeException e) {
            exchange.fail(e);
        }
        if (mStopped) {
            failStopped(exchange);
        }
        return result;
    }

    private void schedule(
            HttpExchange exchange, long delayMillis, long silenceMillis, long endNanos) {
        long bytes = exchange.receivedBytes();
        exchange.setTimer(
                mTimer.schedule(
                        () -> expireIfSilent(exchange, bytes, silenceMillis, endNanos),
                        delayMillis,
                        TimeUnit.MILLISECONDS));
    }

    private void expireIfSilent(
            HttpExchange exchange, long formerBytes, long silenceMillis, long endNanos) {
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        if (exchange.receivedBytes() == formerBytes || leftMillis <= 0) {
            exchange.expire();
        } else {
            schedule(exchange, Math.min(silenceMillis, leftMillis), silenceMillis, endNanos);
        }
    }
}
