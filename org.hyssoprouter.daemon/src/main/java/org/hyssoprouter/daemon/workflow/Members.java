package org.hyssoprouter.daemon.workflow;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/** Knows the daemons of the cell by the rows that each writes at its start. */
final class Members implements Service {
    private static final EventLogger LOG = EventLogger.of(Members.class);
    private static final long WAIT_MILLIS = 10_000;
    private static final long PAUSE_MILLIS = 200;
    private static final long AGAIN_MILLIS = 500;

    private final PartitionTable mTable;
    private final MemberRow mSelf;
    private final Tasks mTasks;
    private final Map<String, MemberRow> mRows = new ConcurrentHashMap<>();
    private final TableFollower mFollower;
    private final MonotonicClock mClock;
    private final LongConsumer mRoundTrip;

    /** Runs tasks after a delay. */
    interface Tasks {
        void later(Runnable task, long delayMillis);
    }

    /**
     * Creates the view of a daemon that has read nothing.
     *
     * @param roundTrip hears how long a call to the store takes, in milliseconds
     */
    Members(
            PartitionTable table,
            WorkflowSettings settings,
            Tasks tasks,
            MonotonicClock clock,
            LongConsumer roundTrip) {
        mClock = clock;
        mRoundTrip = roundTrip;
        mTable = table;
        mSelf =
                new MemberRow(
                        settings.name(),
                        settings.incarnation(),
                        settings.peerAddress(),
                        settings.cores());
        mTasks = tasks;
        mFollower =
                new TableFollower(
                        table,
                        new TableFollower.Subject(
                                Tables.MEMBERS, List.of(""), WAIT_MILLIS, PAUSE_MILLIS),
                        new Rows());
    }

    @Override
    public void start() {
        mRows.put(mSelf.name(), mSelf);
        mFollower.start();
        register();
    }

    @Override
    public void stop() {
        mFollower.stop();
    }

    /** Returns the daemons, this one included, in the order of their names. */
    List<MemberRow> all() {
        List<MemberRow> members = new ArrayList<>(mRows.values());
        members.sort(Comparator.comparing(MemberRow::name));
        return members;
    }

    /** Returns the processor time of the strongest daemon, in cores. */
    double mostCores() {
        return all().stream().mapToDouble(MemberRow::cores).max().orElse(mSelf.cores());
    }

    MemberRow self() {
        return mSelf;
    }

    private void register() {
        long sentMillis = mClock.millis();
        PartitionTable.Batch batch =
                new PartitionTable.Batch("")
                        .put(Tables.MEMBERS, mSelf.name(), MessageCodec.encode(mSelf));
        CompletableFuture<Void> unused =
                mTable.commit(batch).thenAccept(done -> registered(done.isRight(), sentMillis));
    }

    private void registered(boolean done, long sentMillis) {
        if (done) {
            mRoundTrip.accept(mClock.millis() - sentMillis);
        } else {
            mTasks.later(this::register, AGAIN_MILLIS);
        }
    }

    private final class Rows implements TableFollower.Listener {
        @Override
        public void row(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String name = entry.key().name();
            if (name.equals(mSelf.name())) {
                return;
            }
            if (value == null) {
                mRows.remove(name);
                return;
            }
            try {
                mRows.put(name, MessageCodec.decode(value, MemberRow.class));
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, name, e.getMessage());
            }
        }
    }
}
