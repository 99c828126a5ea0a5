package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.HostList;

/**
 * Cached copy of the host list, updated by {@link #refresh}.
 *
 * @since 0.1
 */
public final class HostListView implements HostDirectory {
    private final HostList mList;
    private volatile Copy mCopy = new Copy(0, List.of(), Map.of());

    /** Creates an empty view of the list. */
    public HostListView(HostList list) {
        mList = list;
    }

    /**
     * Reads the list and replaces the copy; keeps the old copy if the read fails. Blocks.
     *
     * @return whether the read succeeded
     */
    public boolean refresh() {
        Either<TableError, List<HostInfo>> hosts = mList.list();
        if (hosts.isLeft()) {
            return false;
        }
        Map<String, List<HostInfo>> byShard = new TreeMap<>();
        for (HostInfo host : hosts.get()) {
            byShard.computeIfAbsent(shardOf(host), shard -> new ArrayList<>()).add(host);
        }
        mCopy = new Copy(mCopy.revision() + 1, List.copyOf(hosts.get()), byShard);
        return true;
    }

    /** Returns the shard that a host belongs to. */
    public static String shardOf(HostInfo host) {
        return host.domain();
    }

    /** Returns the names of the shards of all hosts in the list. */
    public List<String> shards() {
        return List.copyOf(mCopy.byShard().keySet());
    }

    @Override
    public List<HostInfo> hostsOf(String shard) {
        return List.copyOf(mCopy.byShard().getOrDefault(shard, List.of()));
    }

    @Override
    public List<HostInfo> hosts() {
        return mCopy.hosts();
    }

    @Override
    public long revision() {
        return mCopy.revision();
    }

    private record Copy(long revision, List<HostInfo> hosts, Map<String, List<HostInfo>> byShard) {}
}
