package org.hyssoprouter.daemon;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.hyssoprouter.daemon.http.Readiness;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.ownership.ShardDirectory;

/** Reports whether the daemon is ready: cell and configuration read, and no planned stop. */
@Singleton
final class DaemonReadiness implements Readiness {
    private final ConfigView mConfig;
    private final ShardDirectory mDirectory;
    private volatile boolean mDraining;
    private volatile boolean mRefusing;

    @Inject
    DaemonReadiness(ConfigView config, ShardDirectory directory) {
        mConfig = config;
        mDirectory = directory;
    }

    /** Reports not ready to the load balancer from now on; calls that arrive are still served. */
    void markNotReady() {
        mDraining = true;
    }

    /** Refuses calls that arrive from now on. */
    void refuseCalls() {
        mRefusing = true;
    }

    @Override
    public boolean isReady() {
        return !mDraining && !mDirectory.shards().isEmpty() && mConfig.current().isDefined();
    }

    @Override
    public boolean isServing() {
        return !mRefusing;
    }
}
