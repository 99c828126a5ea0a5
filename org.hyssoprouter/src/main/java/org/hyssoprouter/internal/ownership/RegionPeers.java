package org.hyssoprouter.internal.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the other daemons of this daemon's region, which could take its shards over: those alive
 * at the last successful read of the table, and those discovered since then through peer calls.
 * Safe for use by several threads.
 *
 * @since 0.1
 */
public final class RegionPeers {
    /**
     * Another daemon of the region.
     *
     * @param name name of the daemon
     * @param peerAddress {@code ip:port} of its peer listener
     */
    public record Peer(String name, String peerAddress) {}

    private record DiscoveredPeer(Peer peer, long lastSeenMillis) {}

    private final String mOwnName;
    private final Map<String, Peer> mTablePeers = new TreeMap<>();
    private final Map<String, DiscoveredPeer> mDiscoveredPeers = new HashMap<>();

    /** Creates an empty set for the daemon {@code ownName}, which is never added to it. */
    public RegionPeers(String ownName) {
        mOwnName = ownName;
    }

    /**
     * Replaces the peers known from the table by those of a successful read. Peers discovered
     * before the read began are removed.
     *
     * @param startMillis monotonic time at which the read began
     */
    public synchronized void updateFromTable(long startMillis, List<Peer> peers) {
        mTablePeers.clear();
        peers.forEach(peer -> mTablePeers.put(peer.name(), peer));
        mDiscoveredPeers.values().removeIf(discovered -> discovered.lastSeenMillis() < startMillis);
    }

    /**
     * Adds a peer that called this daemon or was reported by another peer.
     *
     * @return whether the peer was unknown before
     */
    public synchronized boolean addDiscovered(Peer peer, long nowMillis) {
        if (peer.name().equals(mOwnName)) {
            return false;
        }
        boolean isNew =
                !mTablePeers.containsKey(peer.name()) && !mDiscoveredPeers.containsKey(peer.name());
        mDiscoveredPeers.put(peer.name(), new DiscoveredPeer(peer, nowMillis));
        return isNew;
    }

    /** Returns all peers, ordered by name. */
    public synchronized List<Peer> all() {
        Map<String, Peer> all = new TreeMap<>(mTablePeers);
        mDiscoveredPeers.forEach((name, discovered) -> all.put(name, discovered.peer()));
        return new ArrayList<>(all.values());
    }
}
