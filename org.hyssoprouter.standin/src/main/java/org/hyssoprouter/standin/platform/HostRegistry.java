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

/** Thread-safe host list with snapshots of its former states, to simulate a lagging list. */
final class HostRegistry {
    private final MonotonicClock mClock;
    private final Map<String, HostInfo> mHosts = new LinkedHashMap<>();
    private final Deque<Snapshot> mSnapshots = new ArrayDeque<>();

    HostRegistry(MonotonicClock clock, List<HostInfo> hosts) {
        mClock = clock;
        hosts.forEach(host -> mHosts.put(host.worker(), host));
        // The initial hosts are listed immediately, whatever the lag.
        mSnapshots.add(new Snapshot(Long.MIN_VALUE, List.copyOf(hosts)));
    }

    /** Returns the newest snapshot of the host list that is at least {@code lagMillis} old. */
    synchronized List<HostInfo> list(long lagMillis) {
        long latestMillis = mClock.millis() - lagMillis;
        Snapshot chosen = mSnapshots.getFirst();
        for (Snapshot snapshot : mSnapshots) {
            if (snapshot.takenMillis <= latestMillis) {
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

    /** Marks a host as leaving; returns whether the host exists. */
    synchronized boolean markLeaving(String worker) {
        HostInfo host = mHosts.get(worker);
        if (host == null) {
            return false;
        }
        mHosts.put(worker, withState(host, HostState.LEAVING));
        addSnapshot();
        return true;
    }

    /** Removes a host; returns whether it existed. */
    synchronized boolean remove(String worker) {
        boolean existed = mHosts.remove(worker) != null;
        addSnapshot();
        return existed;
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
