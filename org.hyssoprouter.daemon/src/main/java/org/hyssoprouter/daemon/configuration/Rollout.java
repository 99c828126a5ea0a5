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

/** Follows one version until it is in force at every live daemon, or the time is up. */
final class Rollout {
    private static final long ROUND_MILLIS = 250;

    private final long mVersion;
    private final DaemonRow mSelf;
    private final ShardDirectory mDirectory;
    private final PeerVersions mVersions;
    private final MonotonicClock mClock;
    private final ScheduledExecutorService mTimer;
    private final long mDeadlineMillis;
    private final Set<String> mInForce = new ConcurrentSkipListSet<>();
    private final CompletableFuture<ConfigStatus> mResult = new CompletableFuture<>();

    Rollout(
            long version,
            DaemonRow self,
            ShardDirectory directory,
            PeerVersions versions,
            MonotonicClock clock,
            ScheduledExecutorService timer,
            long withinMillis) {
        mVersion = version;
        mSelf = self;
        mDirectory = directory;
        mVersions = versions;
        mClock = clock;
        mTimer = timer;
        mDeadlineMillis = clock.millis() + withinMillis;
    }

    CompletableFuture<ConfigStatus> run() {
        mInForce.add(mSelf.name());
        round();
        return mResult;
    }

    private void round() {
        List<DaemonRow> pending = pending();
        List<CompletableFuture<Void>> asked = new ArrayList<>();
        for (DaemonRow daemon : pending) {
            asked.add(mVersions.ask(daemon, mVersion).thenAccept(this::note));
        }
        CompletableFuture<Void> unused =
                CompletableFuture.allOf(asked.toArray(new CompletableFuture<?>[0]))
                        .thenRun(this::next);
    }

    private void note(Either<CallError, VersionReply> reply) {
        if (reply.isRight() && reply.get().version() >= mVersion) {
            mInForce.add(reply.get().name());
        }
    }

    private void next() {
        List<String> pending = pending().stream().map(DaemonRow::name).toList();
        boolean timeIsUp = mClock.millis() - mDeadlineMillis >= 0;
        if (pending.isEmpty() || timeIsUp) {
            mResult.complete(
                    new ConfigStatus(mVersion, pending.isEmpty(), List.copyOf(mInForce), pending));
            return;
        }
        ScheduledFuture<?> unused =
                mTimer.schedule(this::round, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    private List<DaemonRow> pending() {
        return mDirectory.liveDaemons().stream()
                .filter(daemon -> !mInForce.contains(daemon.name()))
                .toList();
    }
}
