package org.hyssoprouter.daemon.cell;

import io.vavr.control.Option;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.transport.LoadDigest;

/**
 * Caches the latest load digest of each shard.
 *
 * @since 0.1
 */
public final class LoadDigestCache {
    private final Map<String, LoadDigest> mDigests = new ConcurrentHashMap<>();

    /** Caches a digest unless the cached one of the same shard is newer. */
    public void update(LoadDigest digest) {
        mDigests.merge(digest.shard(), digest, LoadDigestCache::newer);
    }

    /** Returns the latest digest of a shard, or none. */
    public Option<LoadDigest> digest(String shard) {
        return Option.of(mDigests.get(shard));
    }

    private static LoadDigest newer(LoadDigest cached, LoadDigest received) {
        if (cached.epoch() != received.epoch()) {
            return cached.epoch() > received.epoch() ? cached : received;
        }
        return cached.sequence() > received.sequence() ? cached : received;
    }
}
