package org.hyssoprouter.daemon.cell;

import io.vavr.control.Option;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.transport.LoadDigest;

/**
 * Newest load digest of each shard that this daemon has seen.
 *
 * @since 0.1
 */
public final class LoadDigestCache {
    private final Map<String, LoadDigest> mDigests = new ConcurrentHashMap<>();

    /** Keeps a digest unless a newer one of the same shard is known. */
    public void update(LoadDigest digest) {
        mDigests.merge(digest.shard(), digest, LoadDigestCache::newer);
    }

    /** Returns the newest digest of a shard. */
    public Option<LoadDigest> digest(String shard) {
        return Option.of(mDigests.get(shard));
    }

    private static LoadDigest newer(LoadDigest known, LoadDigest offered) {
        if (known.epoch() != offered.epoch()) {
            return known.epoch() > offered.epoch() ? known : offered;
        }
        return known.sequence() > offered.sequence() ? known : offered;
    }
}
