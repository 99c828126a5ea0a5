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
 * A shard that this daemon owns: its job scheduler and its request handling.
 *
 * @since 0.1
 */
public final class LocalShard implements OwnedShard {
    private final ShardContext mContext;
    private final ShardScheduler mScheduler;
    private final RequestScheduler mRequests;

    /** Creates the shard from its scheduler and its request handling, which share the ownership. */
    LocalShard(ShardContext context, ShardScheduler scheduler, RequestScheduler requests) {
        mContext = context;
        mScheduler = scheduler;
        mRequests = requests;
    }

    @Override
    public void start() {
        mScheduler.start();
        mRequests.start();
    }

    @Override
    public void stop() {
        mRequests.stop();
        mScheduler.stop();
    }

    @Override
    public ShardContext context() {
        return mContext;
    }

    @Override
    public List<ShardEvent> snapshotEvents() {
        return Stream.concat(
                        mScheduler.snapshotEvents().stream(), mRequests.snapshotEvents().stream())
                .toList();
    }

    @Override
    public CompletableFuture<Boolean> quiesce() {
        return mRequests
                .quiesce()
                .thenCombine(mScheduler.quiesce(), (requests, jobs) -> requests && jobs);
    }

    /** Returns the scheduler of the shard's jobs. */
    public ShardScheduler scheduler() {
        return mScheduler;
    }

    /** Returns the request handling of the shard's executors. */
    public RequestScheduler requests() {
        return mRequests;
    }

    /** Returns a digest of the load of the shard's workers and executors. */
    public LoadDigest load() {
        LoadDigest requests = mRequests.load();
        return new LoadDigest(
                requests.shard(),
                requests.epoch(),
                requests.sequence(),
                requests.services(),
                mScheduler.freeRoom(),
                mScheduler.largestFree());
    }

    JobReply viewReply(String job) {
        return new JobReply(mScheduler.view(job).getOrNull(), null);
    }
}
