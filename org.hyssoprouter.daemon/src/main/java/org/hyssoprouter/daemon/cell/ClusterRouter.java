package org.hyssoprouter.daemon.cell;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hyssoprouter.daemon.cell.JobMessages.DrainOrder;
import org.hyssoprouter.daemon.cell.JobMessages.DrainReply;
import org.hyssoprouter.daemon.cell.JobMessages.HostQuery;
import org.hyssoprouter.daemon.cell.JobMessages.HostReply;
import org.hyssoprouter.daemon.http.ClusterService;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.internal.placement.WorkerLoad;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.PeerCallType;

/**
 * Answers operators' queries about shards and workers and drains workers, by calling the owners of
 * the shards.
 *
 * @since 0.1
 */
public final class ClusterRouter implements ClusterService {
    private static final long CALL_TIMEOUT_MILLIS = 3_000;

    private final ShardDirectory mDirectory;
    private final ShardOwnerClient mOwners;
    private final HostDirectory mHosts;

    /** Creates the router. */
    public ClusterRouter(ShardDirectory directory, ShardOwnerClient owners, HostDirectory hosts) {
        mDirectory = directory;
        mOwners = owners;
        mHosts = hosts;
    }

    @Override
    public CompletableFuture<Either<Refusal, List<ShardStatus>>> shards() {
        if (mDirectory.shards().isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(OwnerReplies.cellUnread()));
        }
        List<String> live = mDirectory.liveDaemons().stream().map(DaemonRow::name).toList();
        List<ShardStatus> shards =
                mDirectory.shards().stream()
                        .map(row -> statusOf(row, live.contains(row.owner())))
                        .toList();
        return CompletableFuture.completedFuture(Either.right(shards));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<HostStatus>>> hosts() {
        Option<Refusal> unread = unreadRefusal();
        if (unread.isDefined()) {
            return CompletableFuture.completedFuture(Either.left(unread.get()));
        }
        List<CompletableFuture<Either<Refusal, List<HostStatus>>>> calls =
                mDirectory.shards().stream().map(row -> fetchHosts(row.shard())).toList();
        return OwnerReplies.awaitAll(calls).thenApply(ClusterRouter::merge);
    }

    @Override
    public CompletableFuture<Either<Refusal, HostStatus>> drain(String worker, boolean drained) {
        Option<Refusal> unread = unreadRefusal();
        if (unread.isDefined()) {
            return CompletableFuture.completedFuture(Either.left(unread.get()));
        }
        Option<String> shard = shardOf(worker);
        if (shard.isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(unknownWorker(worker)));
        }
        return sendDrainOrder(new DrainOrder(shard.get(), worker, drained))
                .thenCompose(
                        refusal ->
                                refusal.isDefined()
                                        ? CompletableFuture.completedFuture(
                                                Either.left(refusal.get()))
                                        : fetchHost(shard.get(), worker));
    }

    private Option<Refusal> unreadRefusal() {
        if (mDirectory.shards().isEmpty()) {
            return Option.some(OwnerReplies.cellUnread());
        }
        return mHosts.revision() > 0 ? Option.none() : Option.some(OwnerReplies.hostsUnread());
    }

    private CompletableFuture<Option<Refusal>> sendDrainOrder(DrainOrder order) {
        return mOwners.call(
                        order.shard(),
                        shard ->
                                shard.shardScheduler()
                                        .drainWorker(order.worker(), order.drained())
                                        .thenApply(DrainReply::of),
                        PeerCallType.DRAIN_WORKER,
                        order,
                        DrainReply.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(
                        reply ->
                                reply.fold(
                                        error -> Option.of(OwnerReplies.toRefusal(error)),
                                        result -> Option.of(result.refusal())));
    }

    private CompletableFuture<Either<Refusal, HostStatus>> fetchHost(String shard, String worker) {
        return fetchHosts(shard)
                .thenApply(
                        result ->
                                result.flatMap(
                                        hosts ->
                                                Option.ofOptional(
                                                                hosts.stream()
                                                                        .filter(isNamed(worker))
                                                                        .findFirst())
                                                        .toEither(() -> unknownWorker(worker))));
    }

    private static Predicate<HostStatus> isNamed(String worker) {
        return status -> status.host().worker().equals(worker);
    }

    private CompletableFuture<Either<Refusal, List<HostStatus>>> fetchHosts(String shard) {
        CompletableFuture<Either<CallError, HostReply>> reply =
                mOwners.call(
                        shard,
                        local ->
                                CompletableFuture.completedFuture(
                                        new HostReply(local.shardScheduler().workerLoads())),
                        PeerCallType.HOST_VIEWS,
                        new HostQuery(shard),
                        HostReply.class,
                        CALL_TIMEOUT_MILLIS);
        return reply.thenApply(
                result -> result.bimap(OwnerReplies::toRefusal, hosts -> joinLoads(shard, hosts)));
    }

    private List<HostStatus> joinLoads(String shard, HostReply reply) {
        Map<String, WorkerLoad> loads =
                reply.loads().stream()
                        .collect(Collectors.toMap(WorkerLoad::worker, Function.identity()));
        List<HostStatus> hosts = new ArrayList<>();
        for (HostInfo host : mHosts.hostsOf(shard)) {
            WorkerLoad load = loads.get(host.worker());
            // The owner may not have read the latest host list yet.
            if (load != null) {
                hosts.add(
                        new HostStatus(
                                host,
                                shard,
                                load.drained(),
                                load.usable(),
                                load.used(),
                                load.tasks()));
            }
        }
        return hosts;
    }

    private static Either<Refusal, List<HostStatus>> merge(
            List<Either<Refusal, List<HostStatus>>> parts) {
        List<HostStatus> all = new ArrayList<>();
        for (Either<Refusal, List<HostStatus>> part : parts) {
            if (part.isLeft()) {
                return part;
            }
            all.addAll(part.get());
        }
        return Either.right(all);
    }

    private Option<String> shardOf(String worker) {
        return Option.ofOptional(
                mDirectory.shards().stream()
                        .map(ShardRow::shard)
                        .filter(
                                shard ->
                                        mHosts.hostsOf(shard).stream()
                                                .anyMatch(host -> host.worker().equals(worker)))
                        .findFirst());
    }

    private static ShardStatus statusOf(ShardRow row, boolean ownerLive) {
        return new ShardStatus(row.shard(), row.region(), row.owner(), row.epoch(), ownerLive);
    }

    private static Refusal unknownWorker(String worker) {
        return Refusal.notRun(RefusalCode.NOT_FOUND, "no such worker: " + worker);
    }
}
