package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.Room;

/**
 * Reports the shards and hosts of the cell to operators, and drains workers. Futures complete
 * normally; failures are in the {@code Either}.
 *
 * @since 0.1
 */
public interface ClusterService {
    /** Returns all shards with their owners. */
    CompletableFuture<Either<Refusal, List<ShardStatus>>> shards();

    /** Returns all workers with the state recorded by the owners of their shards. */
    CompletableFuture<Either<Refusal, List<HostStatus>>> hosts();

    /**
     * Drains a worker or ends its drain.
     *
     * @param worker name of the worker
     * @param drained true to stop new work on the worker, false to allow it again
     */
    CompletableFuture<Either<Refusal, HostStatus>> drain(String worker, boolean drained);

    /**
     * Status of a shard and its owner.
     *
     * @param shard name of the shard
     * @param region region of the shard
     * @param owner name of the owning daemon
     * @param epoch epoch of the ownership
     * @param ownerLive whether the owning daemon is considered live
     */
    record ShardStatus(String shard, String region, String owner, long epoch, boolean ownerLive) {}

    /**
     * Status of a worker, as recorded by the owner of its shard.
     *
     * @param host the worker's entry in the platform's host list
     * @param shard shard to which the worker belongs
     * @param drained whether an operator has drained the worker
     * @param usable whether the worker may receive new work
     * @param used room reserved by tasks
     * @param tasks number of tasks on the worker
     */
    record HostStatus(
            HostInfo host, String shard, boolean drained, boolean usable, Room used, int tasks) {}
}
