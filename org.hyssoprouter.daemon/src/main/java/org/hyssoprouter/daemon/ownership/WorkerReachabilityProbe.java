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
 * Asks a few workers under epoch 0, which one that ever had an owner refuses, so the call changes
 * nothing; the refusal is an answer too.
 *
 * @since 0.1
 */
public final class WorkerReachabilityProbe implements ReachabilityProbe {
    private static final int MAX_PROBED_WORKERS = 5;
    private static final long PROBE_EPOCH = 0;

    private final WorkerClient mWorkers;

    /** Creates a reach over the workers' port. */
    public WorkerReachabilityProbe(WorkerClient workers) {
        mWorkers = workers;
    }

    @Override
    public CompletableFuture<Boolean> isReachable(List<HostInfo> hosts) {
        CompletableFuture<Boolean> any = CompletableFuture.completedFuture(false);
        for (HostInfo host : hosts.subList(0, Math.min(MAX_PROBED_WORKERS, hosts.size()))) {
            LeaseRenewal probe =
                    new LeaseRenewal(HostListView.shardOf(host), PROBE_EPOCH, 0, 0, List.of());
            CompletableFuture<Boolean> one =
                    mWorkers.renew(host.address(), probe)
                            .thenApply(WorkerReachabilityProbe::isAnswer);
            any = any.thenCombine(one, Boolean::logicalOr);
        }
        return any;
    }

    private static boolean isAnswer(Either<CallError, WorkerStatus> reply) {
        return reply.isRight() || reply.getLeft().kind() == CallError.Kind.REFUSED;
    }
}
