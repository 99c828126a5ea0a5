package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.Room;

/**
 * Operators' views of the cell, and taking workers out of use. Futures complete normally.
 *
 * @since 0.1
 */
public interface ClusterService {
    /** Returns all shards with their owners. */
    CompletableFuture<Either<Refusal, List<ShardStatus>>> shards();

    /** Returns all workers as their owners see them. */
    CompletableFuture<Either<Refusal, List<HostStatus>>> hosts();

    /**
     * Takes a worker out of use or puts it back.
     *
     * @param worker name of the worker
     * @param drained whether it shall receive no new work
     */
    CompletableFuture<Either<Refusal, HostStatus>> drain(String worker, boolean drained);

    /**
     * A shard and its owner.
     *
     * @param shard shard
     * @param region region
     * @param owner name of the owning daemon
     * @param epoch epoch of its ownership
     * @param ownerLive whether that daemon seems to be alive
     */
    record ShardStatus(String shard, String region, String owner, long epoch, boolean ownerLive) {}

    /**
     * A worker as the owner of its shard sees it.
     *
     * @param host entry of the platform's list
     * @param shard shard that it belongs to
     * @param drained whether an operator took it out of use
     * @param usable whether it may receive new work now
     * @param used room held by tasks
     * @param tasks tasks on it
     */
    record HostStatus(
            HostInfo host, String shard, boolean drained, boolean usable, Room used, int tasks) {}
}
