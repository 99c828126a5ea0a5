package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.transport.WorkerStatus;

/**
 * Probes a few workers of a shard with a lease renewal under epoch 0. A worker that ever had an
 * owner rejects it, so the call changes nothing; a rejection shows that the worker is reachable.
 *
 * @since 0.1
 */
public final class WorkerReachabilityProbe implements ReachabilityProbe {
    private static final int MAX_PROBED_WORKERS = 5;
    private static final long PROBE_EPOCH = 0;

    private final WorkerClient mWorkers;

    /** Creates a probe that uses that worker client. */
    public WorkerReachabilityProbe(WorkerClient workers) {
        mWorkers = workers;
    }

    @Override
    public CompletableFuture<Boolean> isReachable(List<HostInfo> hosts) {
        CompletableFuture<Boolean> anyReachable = CompletableFuture.completedFuture(false);
        for (HostInfo host : hosts.subList(0, Math.min(MAX_PROBED_WORKERS, hosts.size()))) {
            LeaseRenewal renewal =
                    new LeaseRenewal(HostListView.shardOf(host), PROBE_EPOCH, 0, 0, List.of());
            CompletableFuture<Boolean> reachable =
                    mWorkers.renew(host.address(), renewal)
                            .thenApply(WorkerReachabilityProbe::isAnswer);
            anyReachable = anyReachable.thenCombine(reachable, Boolean::logicalOr);
        }
        return anyReachable;
    }

    private static boolean isAnswer(Either<CallError, WorkerStatus> reply) {
        return reply.isRight() || reply.getLeft().kind() == CallError.Kind.REFUSED;
    }
}
