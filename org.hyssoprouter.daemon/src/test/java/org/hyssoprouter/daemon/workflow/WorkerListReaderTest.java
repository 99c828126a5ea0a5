package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;
import org.junit.jupiter.api.Test;

class WorkerListReaderTest {
    private static final String READY = "ready";
    private static final String DRAINING = "draining";
    private static final String ODD = "odd";
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final RecordingListener mListener = new RecordingListener();
    private final WorkerListReader mReader =
            new WorkerListReader(
                    new StateSource(), new DirectExecutor(), HEARTBEAT_MILLIS, mListener);

    // Guards against starts by an entry that no longer exists.
    @Test
    void workerWhoseEntryIsOverwrittenByAnotherWriterIsUnlisted() {
        write(READY);
        mReader.onSynced(1, 1_000);
        write(ODD);
        mReader.onSynced(2, 1_500);
        assertEquals(Set.of(), mListener.mListed);
        assertEquals(List.of("w"), mListener.mUnlisted);
        write(READY);
        mReader.onSynced(3, 2_000);
        assertEquals(Set.of("w"), mListener.mListed);
    }

    // Guards against a second run of tasks on a draining worker that is taken for ended.
    @Test
    void removalOfAnotherWritersEntryIsNoDeparture() {
        mReader.onSynced(1, 1_000);
        write(DRAINING);
        mReader.onSynced(2, 1_500);
        write(ODD);
        mReader.onSynced(3, 2_000);
        mReader.onRow(new PartitionTable.Entry(key(), 4, null));
        mReader.onSynced(4, 2_500);
        assertEquals(List.of(), mListener.mDeparted);
    }

    // Guards against a reader that ends or starts over with an entry that was never valid.
    @Test
    void entryOfAnotherWriterIsNotListed() {
        write(ODD);
        mReader.onSynced(1, 1_000);
        assertEquals(Set.of(), mListener.mListed);
    }

    private void write(String state) {
        mReader.onRow(new PartitionTable.Entry(key(), 1, state.getBytes(StandardCharsets.UTF_8)));
    }

    private static PartitionTable.Key key() {
        return new PartitionTable.Key("workers", "", "w");
    }

    /** Decodes rows that hold the state of the worker only. */
    private static final class StateSource implements WorkerSource {
        @Override
        public String table() {
            return "workers";
        }

        @Override
        public Option<WorkerEntry> decode(PartitionTable.Entry entry) {
            String state = new String(entry.value(), StandardCharsets.UTF_8);
            return Option.when(
                    !state.equals(ODD),
                    () ->
                            new WorkerEntry(
                                    entry.key().name(),
                                    "pool",
                                    "w:1",
                                    "d",
                                    "r",
                                    List.of(),
                                    Room.NONE,
                                    state.equals(DRAINING),
                                    0,
                                    0,
                                    1));
        }
    }

    private static final class RecordingListener implements WorkerListReader.Listener {
        private final List<String> mUnlisted = new ArrayList<>();
        private final List<WorkerEntry> mDeparted = new ArrayList<>();
        private Set<String> mListed = Set.of();

        @Override
        public void onListed(WorkerEntry worker) {}

        @Override
        public void onUnlisted(String id) {
            mUnlisted.add(id);
        }

        @Override
        public void onDeparted(WorkerEntry worker) {
            mDeparted.add(worker);
        }

        @Override
        public void onReadFinished(Set<String> ids) {
            mListed = ids;
        }
    }
}
