package org.hyssoprouter.daemon.cell;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.hyssoprouter.daemon.cell.JobMessages.DrainOrder;
import org.hyssoprouter.daemon.cell.JobMessages.DrainReply;
import org.hyssoprouter.daemon.cell.JobMessages.HostQuery;
import org.hyssoprouter.daemon.cell.JobMessages.HostReply;
import org.hyssoprouter.daemon.cell.JobMessages.JobListQuery;
import org.hyssoprouter.daemon.cell.JobMessages.JobListReply;
import org.hyssoprouter.daemon.cell.JobMessages.JobQuery;
import org.hyssoprouter.daemon.cell.JobMessages.JobReply;
import org.hyssoprouter.daemon.cell.JobMessages.JobSubmit;
import org.hyssoprouter.daemon.cell.LoadPoller.LoadQuery;
import org.hyssoprouter.daemon.ownership.OwnershipService;
import org.hyssoprouter.daemon.request.RequestRouter;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.transport.PeerCallType;

/**
 * Answers the calls that other daemons make to the shards of this one.
 *
 * @since 0.1
 */
public final class PeerHandlers {
    // A shard that changes hands is open again within a few polls of the table.
    private static final long MOVED_RETRY_MILLIS = 500;

    private final ShardCalls mCalls;
    private final RequestRouter mRouter;
    private final LoadPoller mLoads;

    /** Creates the handlers. */
    public PeerHandlers(ShardCalls calls, RequestRouter router, LoadPoller loads) {
        mCalls = calls;
        mRouter = router;
        mLoads = loads;
    }

    /** Registers all handlers; called before the daemon listens. */
    public void registerAt(PeerDispatcher dispatcher, OwnershipService ownership) {
        forward(dispatcher, PeerCallType.REQUEST);
        forward(dispatcher, PeerCallType.CLAIMED_REQUEST);
        dispatcher.register(PeerCallType.JOB_SUBMIT, JobSubmit.class, this::submit);
        dispatcher.register(PeerCallType.JOB_CANCEL, JobQuery.class, this::cancel);
        dispatcher.register(PeerCallType.JOB_VIEW, JobQuery.class, this::view);
        dispatcher.register(PeerCallType.JOB_LIST, JobListQuery.class, this::list);
        dispatcher.register(PeerCallType.DRAIN_WORKER, DrainOrder.class, this::drain);
        dispatcher.register(PeerCallType.HOST_VIEWS, HostQuery.class, this::hosts);
        dispatcher.register(
                PeerCallType.LOAD,
                LoadQuery.class,
                query -> CompletableFuture.completedFuture(mLoads.ownLoad()));
        dispatcher.registerRaw(PeerCallType.TABLE_STATUS, ownership::onTableStatus);
        dispatcher.registerRaw(PeerCallType.HANDOVER, ownership::onHandover);
    }

    private void forward(PeerDispatcher dispatcher, PeerCallType type) {
        dispatcher.registerRaw(type, payload -> mRouter.onForwarded(type, payload));
    }

    private CompletableFuture<JobReply> submit(JobSubmit message) {
        return at(
                message.shard(),
                shard -> shard.scheduler().submit(message.spec()).thenApply(JobReply::of));
    }

    private CompletableFuture<JobReply> cancel(JobQuery query) {
        return at(
                query.shard(),
                shard -> shard.scheduler().cancel(query.job()).thenApply(JobReply::of));
    }

    private CompletableFuture<JobReply> view(JobQuery query) {
        return at(
                query.shard(),
                shard -> CompletableFuture.completedFuture(shard.viewReply(query.job())));
    }

    private CompletableFuture<JobListReply> list(JobListQuery query) {
        return mCalls.owned(query.shard())
                .map(shard -> new JobListReply(shard.scheduler().list(query.limit())))
                .map(CompletableFuture::completedFuture)
                .getOrElse(() -> movedAway(query.shard()));
    }

    /** Fails the call, because an empty list would say that the shard has nothing. */
    private static <T> CompletableFuture<T> movedAway(String shard) {
        return CompletableFuture.failedFuture(
                new IllegalStateException("shard " + shard + " has moved"));
    }

    private CompletableFuture<HostReply> hosts(HostQuery query) {
        return mCalls.owned(query.shard())
                .map(shard -> new HostReply(shard.scheduler().workerLoads()))
                .map(CompletableFuture::completedFuture)
                .getOrElse(() -> movedAway(query.shard()));
    }

    private CompletableFuture<DrainReply> drain(DrainOrder order) {
        Option<HostedShard> shard = mCalls.owned(order.shard());
        if (shard.isEmpty()) {
            return CompletableFuture.completedFuture(new DrainReply(moved(order.shard())));
        }
        return shard.get()
                .scheduler()
                .drainWorker(order.worker(), order.drained())
                .thenApply(DrainReply::of);
    }

    private CompletableFuture<JobReply> at(
            String name, Function<HostedShard, CompletableFuture<JobReply>> action) {
        return mCalls.owned(name)
                .map(action)
                .getOrElse(
                        () -> CompletableFuture.completedFuture(new JobReply(null, moved(name))));
    }

    private static Refusal moved(String shard) {
        return Refusal.later(
                RefusalCode.NO_OWNER,
                "shard " + shard + " has no open owner here",
                MOVED_RETRY_MILLIS);
    }
}
