package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/** Follows the states of all workflows, the owner's row and its load. */
final class WorkflowStates implements Service {
    private static final EventLogger LOG = EventLogger.of(WorkflowStates.class);
    // Bounds the time until a silent owner is noticed.
    private static final long WAIT_MILLIS = 300;
    // Bounds the calls to the store: the owner's row changes with every commit.
    private static final long PAUSE_MILLIS = 150;

    private final Map<String, WorkflowState> mStates = new ConcurrentHashMap<>();
    private final TableFollower mFollower;
    private final OwnerListener mOwnerListener;
    private final MonotonicClock mClock;
    private volatile long mAnsweredMillis = -1;
    private volatile LoadRow mLoad = new LoadRow(Map.of());

    /** Hears of the owner's row. All calls come from one thread. */
    interface OwnerListener {
        /** The row was read or has changed; none if it was deleted. */
        void ownerRow(Option<OwnerRow> row, long version);

        /** Everything up to a time of the store's clock is known. */
        void synced(long storeMillis);

        /** A reading failed. */
        void failed();
    }

    WorkflowStates(PartitionTable table, OwnerListener ownerListener, MonotonicClock clock) {
        mClock = clock;
        mOwnerListener = ownerListener;
        mFollower =
                new TableFollower(
                        table,
                        new TableFollower.Subject(
                                Tables.STATES, List.of(Tables.POOLS), WAIT_MILLIS, PAUSE_MILLIS),
                        new Rows());
    }

    @Override
    public void start() {
        mFollower.start();
    }

    @Override
    public void stop() {
        mFollower.stop();
    }

    Option<WorkflowState> stateOf(String id) {
        return Option.of(mStates.get(id));
    }

    /** Returns the steady time at which the store last answered, or -1. */
    long answeredMillis() {
        return mAnsweredMillis;
    }

    /** Takes note of a state that is durable; a final one is never replaced. */
    void note(String id, WorkflowState state) {
        mStates.merge(id, state, (old, fresh) -> old.isFinal() ? old : fresh);
    }

    int pending(String queue) {
        return mLoad.pending().getOrDefault(queue, 0);
    }

    private final class Rows implements TableFollower.Listener {
        @Override
        public void row(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String key = entry.key().name();
            try {
                if (key.equals(Tables.OWNER)) {
                    Option<OwnerRow> row =
                            value == null
                                    ? Option.none()
                                    : Option.some(MessageCodec.decode(value, OwnerRow.class));
                    mOwnerListener.ownerRow(row, entry.version());
                } else if (value == null) {
                    mStates.remove(key);
                } else if (key.equals(Tables.LOAD)) {
                    mLoad = MessageCodec.decode(value, LoadRow.class);
                } else {
                    mStates.put(key, Tables.decode(value));
                }
            } catch (IOException | IllegalArgumentException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
            }
        }

        @Override
        public void synced(long version, long storeMillis) {
            mAnsweredMillis = mClock.millis();
            mOwnerListener.synced(storeMillis);
        }

        @Override
        public void failed(TableError error) {
            mOwnerListener.failed();
        }
    }
}
