package org.hyssoprouter.daemon.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.PoolConfig;

/**
 * Last versions of the configuration, from which a host answers what has changed since one of them.
 * Each answer is encoded once, however many hosts ask.
 */
final class ConfigHistory {
    /** A host that has missed more versions gets the whole configuration. */
    private static final int MAX_FORMER_VERSIONS = 3;

    private final Deque<PoolConfig> mFormer = new ArrayDeque<>();
    private final Map<Long, byte[]> mEncodedByBase = new HashMap<>();
    private PoolConfig mCurrent = PoolConfig.NONE;

    /** Sets the version in force; it must be newer than the former one. */
    void add(PoolConfig config) {
        if (mCurrent.version() > 0) {
            mFormer.addFirst(mCurrent);
        }
        if (mFormer.size() > MAX_FORMER_VERSIONS) {
            mFormer.removeLast();
        }
        mCurrent = config;
        mEncodedByBase.clear();
    }

    /** Returns the version in force, 0 for none. */
    long currentVersion() {
        return mCurrent.version();
    }

    /** Returns the encoded changes from a version to the one in force. */
    byte[] changesSince(long version) {
        PoolConfig base =
                mFormer.stream()
                        .filter(it -> it.version() == version)
                        .findFirst()
                        .orElse(PoolConfig.NONE);
        return mEncodedByBase.computeIfAbsent(
                base.version(), unused -> ConfigChanges.since(base, mCurrent).encode());
    }
}
