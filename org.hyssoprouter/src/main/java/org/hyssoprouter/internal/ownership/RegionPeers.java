package org.hyssoprouter.internal.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The other daemons of this daemon's region that could take its shards over: those alive at the
 * last read of the table, and those that called or were named by a peer since.
 *
 * @since 0.1
 */
public final class RegionPeers {
    /**
     * A daemon that could take over.
     *
     * @param name name
     * @param peerAddress {@code ip:port} of its peer listener
     */
    public record Peer(String name, String peerAddress) {}

    private record Met(Peer rival, long atMillis) {}

    private final String mOwnName;
    private final Map<String, Peer> mRead = new TreeMap<>();
    private final Map<String, Met> mMet = new HashMap<>();

    /** Creates an empty set for the daemon of that name, which is never in it. */
    public RegionPeers(String ownName) {
        mOwnName = ownName;
    }

    /** Notes the rivals that a successful read showed; those met before it began are forgotten. */
    public synchronized void updateFromTable(long startMillis, List<Peer> rivals) {
        mRead.clear();
        rivals.forEach(rival -> mRead.put(rival.name(), rival));
        mMet.values().removeIf(met -> met.atMillis() < startMillis);
    }

    /**
     * Notes a rival that called, or that a peer knows.
     *
     * @return whether it was unknown
     */
    public synchronized boolean addDiscovered(Peer rival, long nowMillis) {
        if (rival.name().equals(mOwnName)) {
            return false;
        }
        boolean isNew = !mRead.containsKey(rival.name()) && !mMet.containsKey(rival.name());
        mMet.put(rival.name(), new Met(rival, nowMillis));
        return isNew;
    }

    /** Returns all rivals. */
    public synchronized List<Peer> all() {
        Map<String, Peer> all = new TreeMap<>(mRead);
        mMet.forEach((name, met) -> all.put(name, met.rival()));
        return new ArrayList<>(all.values());
    }
}
