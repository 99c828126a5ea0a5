package org.hyssoprouter.standin.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.util.MonotonicClock;

/** The fleet as it is, and as it was some time ago. */
final class HostRegistry {
    private final MonotonicClock mClock;
    private final Map<String, HostInfo> mHosts = new LinkedHashMap<>();
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    HostRegistry(MonotonicClock clock, List<HostInfo> hosts) {
        mClock = clock;
        hosts.forEach(host -> mHosts.put(host.worker(), host));
        // Hosts given at the start are listed at once, whatever the lag.
        mSnapshots.add(new Snapshot(Long.MIN_VALUE, List.copyOf(hosts)));
    }

    /** Returns the newest state of the fleet that is at least {@code lagMillis} old. */
    synchronized List<HostInfo> list(long lagMillis) {
        long horizonMillis = mClock.millis() - lagMillis;
        Snapshot chosen = mSnapshots.getFirst();
        for (Snapshot snapshot : mSnapshots) {
            if (snapshot.takenMillis <= horizonMillis) {
                chosen = snapshot;
            }
        }
        return chosen.hosts;
    }

    /** Adds or replaces a host. */
    synchronized void put(HostInfo host) {
        mHosts.put(host.worker(), host);
        addSnapshot();
    }

    /** Marks a host as leaving; returns whether it is known. */
    synchronized boolean markLeaving(String worker) {
        HostInfo host = mHosts.get(worker);
        if (host == null) {
            return false;
        }
        mHosts.put(worker, withState(host, HostState.LEAVING));
        addSnapshot();
        return true;
    }

    /** Takes a host off the fleet; returns whether it was known. */
    synchronized boolean remove(String worker) {
        boolean known = mHosts.remove(worker) != null;
        addSnapshot();
        return known;
    }

    private void addSnapshot() {
        mSnapshots.add(new Snapshot(mClock.millis(), new ArrayList<>(mHosts.values())));
    }

    private static HostInfo withState(HostInfo host, HostState state) {
        return new HostInfo(
                host.worker(),
                host.region(),
                host.domain(),
                host.rack(),
                host.address(),
                state,
                host.capacity(),
                host.executors());
    }

    private record Snapshot(long takenMillis, List<HostInfo> hosts) {}
}
