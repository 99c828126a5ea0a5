package org.hyssoprouter.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/** Picks daemons whose last readiness probe succeeded, as the platform's load balancer does. */
final class LoadBalancer implements AutoCloseable {
    private static final long PROBE_INTERVAL_MILLIS = 200;

    private final List<DaemonProcess> mDaemons;
    private final Set<DaemonProcess> mReady = ConcurrentHashMap.newKeySet();
    private final OkHttpClient mClient =
            new OkHttpClient.Builder().callTimeout(Duration.ofMillis(500)).build();
    private final ScheduledExecutorService mProbeExecutor;

    LoadBalancer(List<DaemonProcess> daemons) {
        mDaemons = daemons;
        mReady.addAll(daemons);
        mProbeExecutor = Executors.newScheduledThreadPool(daemons.size());
        for (DaemonProcess daemon : daemons) {
            var unused =
                    mProbeExecutor.scheduleWithFixedDelay(
                            () -> probe(daemon), 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns a random ready daemon, or any daemon if none is ready; avoids {@code last}. */
    DaemonProcess pickEntry(Random random, @Nullable DaemonProcess last) {
        List<DaemonProcess> entries = new ArrayList<>(mDaemons);
        entries.retainAll(mReady);
        if (entries.isEmpty()) {
            entries.addAll(mDaemons);
        }
        if (entries.size() > 1) {
            entries.remove(last);
        }
        synchronized (random) {
            return entries.get(random.nextInt(entries.size()));
        }
    }

    @Override
    public void close() {
        mProbeExecutor.shutdownNow();
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private void probe(DaemonProcess daemon) {
        String url = "http://" + daemon.httpAddress() + "/ready";
        Request request = new Request.Builder().url(url).build();
        boolean ready;
        try (Response response = mClient.newCall(request).execute()) {
            ready = response.isSuccessful();
        } catch (IOException e) {
            ready = false;
        }
        if (ready) {
            mReady.add(daemon);
        } else {
            mReady.remove(daemon);
        }
    }
}
