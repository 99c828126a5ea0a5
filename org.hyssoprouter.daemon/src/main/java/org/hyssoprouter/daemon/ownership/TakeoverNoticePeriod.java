package org.hyssoprouter.daemon.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks for how long this daemon has announced itself because an owner's heartbeats are missing.
 * An owner that confirms its ownership during an outage queries only the peers that it knows, so a
 * daemon that started since has to announce itself for some time before it takes over.
 */
final class TakeoverNoticePeriod {
    private final long mNoticeMillis;
    private final Map<String, Long> mUnresponsiveSinceMillis = new HashMap<>();

    /** Creates a notice period of that length in milliseconds. */
    TakeoverNoticePeriod(long noticeMillis) {
        mNoticeMillis = noticeMillis;
    }

    /** Records the owners whose heartbeats are missing now; restarts the period for new ones. */
    void updateUnresponsiveOwners(Set<String> owners, long nowMillis) {
        mUnresponsiveSinceMillis.keySet().retainAll(new HashSet<>(owners));
        owners.forEach(owner -> mUnresponsiveSinceMillis.putIfAbsent(owner, nowMillis));
    }

    /** Returns whether the owner's heartbeats have been missing for the whole period. */
    boolean hasElapsed(String owner, long nowMillis) {
        Long unresponsiveSinceMillis = mUnresponsiveSinceMillis.get(owner);
        return unresponsiveSinceMillis != null
                && nowMillis - unresponsiveSinceMillis >= mNoticeMillis;
    }
}
