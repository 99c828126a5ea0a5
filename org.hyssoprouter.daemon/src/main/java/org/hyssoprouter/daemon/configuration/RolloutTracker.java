package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.configuration.ConfigMessages.VersionReply;
import org.hyssoprouter.daemon.http.ConfigStatus;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.util.MonotonicClock;

/** Tracks one version until every live daemon applies it or the timeout expires. */
final class RolloutTracker {
    private static final long QUERY_INTERVAL_MILLIS = 250;

    private final long mVersion;
    private final DaemonRow mSelf;
    private final ShardDirectory mDirectory;
    private final PeerVersionClient mVersionClient;
    private final MonotonicClock mClock;
    private final ScheduledExecutorService mTimer;
    private final long mDeadlineMillis;
    private final Set<String> mConfirmedDaemons = new ConcurrentSkipListSet<>();
    private final CompletableFuture<ConfigStatus> mResult = new CompletableFuture<>();

    RolloutTracker(
            long version,
            DaemonRow self,
            ShardDirectory directory,
            PeerVersionClient versionClient,
            MonotonicClock clock,
            ScheduledExecutorService timer,
            long timeoutMillis) {
        mVersion = version;
        mSelf = self;
        mDirectory = directory;
        mVersionClient = versionClient;
        mClock = clock;
        mTimer = timer;
        mDeadlineMillis = clock.millis() + timeoutMillis;
    }

    CompletableFuture<ConfigStatus> track() {
        mConfirmedDaemons.add(mSelf.name());
        queryPendingDaemons();
        return mResult;
    }

    private void queryPendingDaemons() {
        List<DaemonRow> pending = pendingDaemons();
        List<CompletableFuture<Void>> queries = new ArrayList<>();
        for (DaemonRow daemon : pending) {
            queries.add(
                    mVersionClient.queryVersion(daemon, mVersion).thenAccept(this::recordReply));
        }
        CompletableFuture<Void> unused =
                CompletableFuture.allOf(queries.toArray(new CompletableFuture<?>[0]))
                        .thenRun(this::completeOrRetry);
    }

    private void recordReply(Either<CallError, VersionReply> reply) {
        if (reply.isRight() && reply.get().version() >= mVersion) {
            mConfirmedDaemons.add(reply.get().name());
        }
    }

    private void completeOrRetry() {
        List<String> pending = pendingDaemons().stream().map(DaemonRow::name).toList();
        boolean timedOut = mClock.millis() - mDeadlineMillis >= 0;
        if (pending.isEmpty() || timedOut) {
            mResult.complete(
                    new ConfigStatus(
                            mVersion, pending.isEmpty(), List.copyOf(mConfirmedDaemons), pending));
            return;
        }
        ScheduledFuture<?> unused =
                mTimer.schedule(
                        this::queryPendingDaemons, QUERY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<DaemonRow> pendingDaemons() {
        return mDirectory.liveDaemons().stream()
                .filter(daemon -> !mConfirmedDaemons.contains(daemon.name()))
                .toList();
    }
}
