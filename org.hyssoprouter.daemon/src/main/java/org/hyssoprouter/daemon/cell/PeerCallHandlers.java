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
 * Handles calls of other daemons to the shards that this daemon owns.
 *
 * @since 0.1
 */
public final class PeerCallHandlers {
    // A shard that changes owner is open again within a few polls of the table service.
    private static final long NOT_OWNED_RETRY_MILLIS = 500;

    private final ShardOwnerClient mOwners;
    private final RequestRouter mRouter;
    private final LoadPoller mLoads;

    /** Creates the handlers. */
    public PeerCallHandlers(ShardOwnerClient owners, RequestRouter router, LoadPoller loads) {
        mOwners = owners;
        mRouter = router;
        mLoads = loads;
    }

    /** Registers all handlers; called before the daemon listens. */
    public void registerWith(PeerDispatcher dispatcher, OwnershipService ownership) {
        registerForwarding(dispatcher, PeerCallType.REQUEST);
        registerForwarding(dispatcher, PeerCallType.CLAIMED_REQUEST);
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

    private void registerForwarding(PeerDispatcher dispatcher, PeerCallType type) {
        dispatcher.registerRaw(type, payload -> mRouter.onForwarded(type, payload));
    }

    private CompletableFuture<JobReply> submit(JobSubmit message) {
        return onOwnedShard(
                message.shard(),
                shard -> shard.shardScheduler().submit(message.spec()).thenApply(JobReply::of));
    }

    private CompletableFuture<JobReply> cancel(JobQuery query) {
        return onOwnedShard(
                query.shard(),
                shard -> shard.shardScheduler().cancel(query.job()).thenApply(JobReply::of));
    }

    private CompletableFuture<JobReply> view(JobQuery query) {
        return onOwnedShard(
                query.shard(),
                shard -> CompletableFuture.completedFuture(shard.viewReply(query.job())));
    }

    private CompletableFuture<JobListReply> list(JobListQuery query) {
        return mOwners.ownedShard(query.shard())
                .map(shard -> new JobListReply(shard.shardScheduler().list(query.limit())))
                .map(CompletableFuture::completedFuture)
                .getOrElse(() -> failNotOwned(query.shard()));
    }

    /** Fails the call, because an empty list would mean that the shard has no entries. */
    private static <T> CompletableFuture<T> failNotOwned(String shard) {
        return CompletableFuture.failedFuture(
                new IllegalStateException("shard " + shard + " is not owned by this daemon"));
    }

    private CompletableFuture<HostReply> hosts(HostQuery query) {
        return mOwners.ownedShard(query.shard())
                .map(shard -> new HostReply(shard.shardScheduler().workerLoads()))
                .map(CompletableFuture::completedFuture)
                .getOrElse(() -> failNotOwned(query.shard()));
    }

    private CompletableFuture<DrainReply> drain(DrainOrder order) {
        Option<LocalShard> shard = mOwners.ownedShard(order.shard());
        if (shard.isEmpty()) {
            return CompletableFuture.completedFuture(new DrainReply(notOwned(order.shard())));
        }
        return shard.get()
                .shardScheduler()
                .drainWorker(order.worker(), order.drained())
                .thenApply(DrainReply::of);
    }

    private CompletableFuture<JobReply> onOwnedShard(
            String name, Function<LocalShard, CompletableFuture<JobReply>> action) {
        return mOwners.ownedShard(name)
                .map(action)
                .getOrElse(
                        () ->
                                CompletableFuture.completedFuture(
                                        new JobReply(null, notOwned(name))));
    }

    private static Refusal notOwned(String shard) {
        return Refusal.retryLater(
                RefusalCode.NO_OWNER,
                "shard " + shard + " is not open on this daemon",
                NOT_OWNED_RETRY_MILLIS);
    }
}
