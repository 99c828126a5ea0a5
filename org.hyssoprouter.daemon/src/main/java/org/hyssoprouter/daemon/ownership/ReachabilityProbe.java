package org.hyssoprouter.daemon.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.HostInfo;

/**
 * Checks whether this daemon can reach workers of a shard of another region, and so could run it.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ReachabilityProbe {
    /** Probe that reaches no worker, so no shard of another region is taken over. */
    ReachabilityProbe ALWAYS_UNREACHABLE = hosts -> CompletableFuture.completedFuture(false);

    /** Returns whether at least one worker on the hosts answers. */
    CompletableFuture<Boolean> isReachable(List<HostInfo> hosts);
}
