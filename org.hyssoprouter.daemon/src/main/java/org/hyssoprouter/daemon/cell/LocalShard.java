package org.hyssoprouter.daemon.cell;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.hyssoprouter.daemon.cell.JobMessages.JobReply;
import org.hyssoprouter.daemon.placement.ShardScheduler;
import org.hyssoprouter.daemon.request.RequestScheduler;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.transport.LoadDigest;

/**
 * A shard that this daemon owns, with the scheduler of its jobs and the scheduler of its requests.
 *
 * @since 0.1
 */
public final class LocalShard implements OwnedShard {
    private final ShardContext mContext;
    private final ShardScheduler mShardScheduler;
    private final RequestScheduler mRequestScheduler;

    /** Creates the shard from its two schedulers, which share the ownership. */
    LocalShard(
            ShardContext context,
            ShardScheduler shardScheduler,
            RequestScheduler requestScheduler) {
        mContext = context;
        mShardScheduler = shardScheduler;
        mRequestScheduler = requestScheduler;
    }

    @Override
    public void start() {
        mShardScheduler.start();
        mRequestScheduler.start();
    }

    @Override
    public void stop() {
        mRequestScheduler.stop();
        mShardScheduler.stop();
    }

    @Override
    public ShardContext context() {
        return mContext;
    }

    @Override
    public List<ShardEvent> snapshotEvents() {
        return Stream.concat(
                        mShardScheduler.snapshotEvents().stream(),
                        mRequestScheduler.snapshotEvents().stream())
                .toList();
    }

    @Override
    public CompletableFuture<Boolean> quiesce() {
        return mRequestScheduler
                .quiesce()
                .thenCombine(mShardScheduler.quiesce(), (requests, jobs) -> requests && jobs);
    }

    /** Returns the scheduler of the shard's jobs. */
    public ShardScheduler shardScheduler() {
        return mShardScheduler;
    }

    /** Returns the scheduler of the shard's requests. */
    public RequestScheduler requestScheduler() {
        return mRequestScheduler;
    }

    /** Returns a digest of the load of the shard's workers and executors. */
    public LoadDigest load() {
        LoadDigest requests = mRequestScheduler.load();
        return new LoadDigest(
                requests.shard(),
                requests.epoch(),
                requests.sequence(),
                requests.services(),
                mShardScheduler.freeRoom(),
                mShardScheduler.largestFree());
    }

    JobReply viewReply(String job) {
        return new JobReply(mShardScheduler.view(job).getOrNull(), null);
    }
}
