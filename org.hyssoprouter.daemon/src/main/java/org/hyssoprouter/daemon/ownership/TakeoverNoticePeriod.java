package org.hyssoprouter.daemon.ownership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Since when the daemons of the region have been told that this daemon reads the table and misses
 * an owner's heartbeat. An owner that acts through an outage asks only the rivals that it knows, so
 * one that came up since must make itself known before it takes over.
 */
final class TakeoverNoticePeriod {
    private final long mNoticeMillis;
    private final Map<String, Long> mSilentSinceMillis = new HashMap<>();

    /** Creates notices after which a takeover has to wait for that time. */
    TakeoverNoticePeriod(long noticeMillis) {
        mNoticeMillis = noticeMillis;
    }

    /** Notes which owners are silent at present, those missed before and those missed anew. */
    void updateSilentOwners(Set<String> owners, long nowMillis) {
        mSilentSinceMillis.keySet().retainAll(new HashSet<>(owners));
        owners.forEach(owner -> mSilentSinceMillis.putIfAbsent(owner, nowMillis));
    }

    /** Returns whether the owner was silent and the others know of it for long enough. */
    boolean hasElapsed(String owner, long nowMillis) {
        Long since = mSilentSinceMillis.get(owner);
        return since != null && nowMillis - since >= mNoticeMillis;
    }
}
