package org.hyssoprouter.daemon.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.HostInfo;

/**
 * Tells whether this daemon could do anything for a shard of another region.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ReachabilityProbe {
    /** Reaches nothing, so no shard of another region is taken over. */
    ReachabilityProbe ALWAYS_UNREACHABLE = hosts -> CompletableFuture.completedFuture(false);

    /** Returns whether some worker among the hosts answers. */
    CompletableFuture<Boolean> isReachable(List<HostInfo> hosts);
}
