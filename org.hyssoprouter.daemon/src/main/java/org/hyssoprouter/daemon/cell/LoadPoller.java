package org.hyssoprouter.daemon.cell;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.LoadDigest;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Polls the owners of shards for their load. Owners in other regions are polled less often, because
 * every byte sent between regions is charged.
 *
 * @since 0.1
 */
public final class LoadPoller implements Service {
    private static final EventLogger LOGGER = EventLogger.of(LoadPoller.class);
    private static final long POLL_INTERVAL_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final int ROUNDS_PER_REMOTE_POLL = 5;

    private final ShardDirectory mDirectory;
    private final ShardOwnerClient mOwners;
    private final PeerTransport mPeers;
    private final LoadDigestCache mCache;
    private final String mRegion;
    private final ScheduledExecutorService mTimer;
    private @Nullable ScheduledFuture<?> mTask;
    private int mRound;

    /**
     * Creates the poller.
     *
     * @param region region of this daemon
     */
    public LoadPoller(
            ShardDirectory directory,
            ShardOwnerClient owners,
            PeerTransport peers,
            LoadDigestCache cache,
            String region,
            ScheduledExecutorService timer) {
        mDirectory = directory;
        mOwners = owners;
        mPeers = peers;
        mCache = cache;
        mRegion = region;
        mTimer = timer;
    }

    @Override
    public void start() {
        mTask =
                mTimer.scheduleWithFixedDelay(
                        this::pollDueOwners,
                        POLL_INTERVAL_MILLIS,
                        POLL_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (mTask != null) {
            mTask.cancel(false);
        }
    }

    /** Returns the load of all shards that this daemon owns. */
    LoadReply ownLoad() {
        return new LoadReply(
                mDirectory.shards().stream()
                        .flatMap(row -> mOwners.ownedShard(row.shard()).toJavaStream())
                        .map(LocalShard::load)
                        .toList());
    }

    private void pollDueOwners() {
        mRound++;
        ownLoad().digests().forEach(mCache::update);
        mDirectory.shards().stream()
                .filter(row -> mOwners.ownedShard(row.shard()).isEmpty())
                .filter(this::isDue)
                .map(ShardRow::peerAddress)
                .distinct()
                .forEach(this::pollOwner);
    }

    private boolean isDue(ShardRow row) {
        return row.region().equals(mRegion) || mRound % ROUNDS_PER_REMOTE_POLL == 1;
    }

    private void pollOwner(String address) {
        CompletableFuture<Void> unused =
                mPeers.call(
                                address,
                                PeerCallType.LOAD.number(),
                                TrafficClass.NORMAL,
                                MessageCodec.encode(new LoadQuery(mRegion)),
                                CALL_TIMEOUT_MILLIS)
                        .thenAccept(this::handleReply);
    }

    private void handleReply(Either<CallError, byte[]> reply) {
        // A failed poll is ignored: the cached digest stays in use, and the next round polls again.
        if (reply.isLeft()) {
            return;
        }
        try {
            MessageCodec.decode(reply.get(), LoadReply.class).digests().forEach(mCache::update);
        } catch (IOException e) {
            LOGGER.log(LogEvent.ROW_UNREADABLE, "load digest", String.valueOf(e.getMessage()));
        }
    }

    /**
     * Queries the load of the shards that a peer owns.
     *
     * @param region region of the polling daemon
     */
    record LoadQuery(String region) {}

    /**
     * Load of the shards that a daemon owns.
     *
     * @param digests one digest per shard
     */
    record LoadReply(List<LoadDigest> digests) {}
}
