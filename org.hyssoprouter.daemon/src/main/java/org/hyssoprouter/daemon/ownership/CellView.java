package org.hyssoprouter.daemon.ownership;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.internal.ownership.CellKeys;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/** Immutable view of the cell's rows as of one read of the table. */
final class CellView {
    private static final EventLogger LOG = EventLogger.of(CellView.class);

    private final Map<String, ShardRow> mShards = new TreeMap<>();
    private final Map<String, DaemonRow> mDaemons = new TreeMap<>();
    private final Map<String, Long> mVersions = new HashMap<>();
    private @Nullable Row mConfig;

    private CellView() {}

    static CellView of(List<Row> rows) {
        CellView view = new CellView();
        rows.forEach(view::add);
        return view;
    }

    private void add(Row row) {
        mVersions.put(row.key(), row.version());
        try {
            if (row.key().startsWith(CellKeys.SHARD_PREFIX)) {
                ShardRow shard = MessageCodec.decode(row.value(), ShardRow.class);
                mShards.put(shard.shard(), shard);
            } else if (row.key().startsWith(CellKeys.DAEMON_PREFIX)) {
                DaemonRow daemon = MessageCodec.decode(row.value(), DaemonRow.class);
                mDaemons.put(daemon.name(), daemon);
            } else if (row.key().equals(CellKeys.CONFIG)) {
                mConfig = row;
            }
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, e, row.key(), e);
        }
    }

    List<ShardRow> shards() {
        return List.copyOf(mShards.values());
    }

    Option<ShardRow> shard(String name) {
        return Option.of(mShards.get(name));
    }

    List<DaemonRow> daemons() {
        return List.copyOf(mDaemons.values());
    }

    Option<DaemonRow> daemon(String name) {
        return Option.of(mDaemons.get(name));
    }

    Option<Row> config() {
        return Option.of(mConfig);
    }

    /** Returns the version of a row under the cell's prefix, or {@link Transaction#ABSENT}. */
    long version(String key) {
        return mVersions.getOrDefault(key, Transaction.ABSENT);
    }

    /** Returns the versions of the daemons' rows by daemon name. */
    Map<String, Long> daemonVersions() {
        Map<String, Long> versions = new HashMap<>();
        mDaemons.keySet().forEach(name -> versions.put(name, version(CellKeys.daemon(name))));
        return versions;
    }
}
