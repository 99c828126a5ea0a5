package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;

/** Receives the rows of the worker list and passes its changes to the owner's thread. */
final class WorkerListReader implements TableFollower.Listener {
    private static final EventLogger LOG = EventLogger.of(WorkerListReader.class);

    private final WorkerSource mSource;
    private final SerialExecutor mThread;
    private final Listener mListener;
    private final WorkerDepartureDetector mDepartureDetector;
    private final Set<String> mListedIds = new HashSet<>();

    /** Identifiers of the entries that name no worker, each of which is logged once. */
    private final Set<String> mIgnoredIds = new HashSet<>();

    /** Receives changes of the list, on the owner's thread. */
    interface Listener {
        /** An entry was written. */
        void onListed(WorkerEntry worker);

        /** An entry was removed or names no worker anymore; the worker may still be running. */
        void onUnlisted(String id);

        /** A worker has ended. */
        void onDeparted(WorkerEntry worker);

        /** A read has finished, after which exactly these workers are listed. */
        void onReadFinished(Set<String> ids);
    }

    WorkerListReader(
            WorkerSource source, SerialExecutor thread, long heartbeatMillis, Listener listener) {
        mSource = source;
        mThread = thread;
        mListener = listener;
        mDepartureDetector = new WorkerDepartureDetector(heartbeatMillis);
    }

    @Override
    public void onReset() {
        mListedIds.clear();
        mIgnoredIds.clear();
        mDepartureDetector.onReset();
    }

    @Override
    public void onRow(PartitionTable.Entry entry) {
        String id = entry.key().name();
        byte[] value = entry.value();
        if (value == null) {
            mIgnoredIds.remove(id);
            mDepartureDetector.onEntryRemoved(id);
            unlist(id);
            return;
        }
        Option<WorkerEntry> decoded = mSource.decode(entry);
        if (decoded.isEmpty()) {
            if (mIgnoredIds.add(id)) {
                LOG.log(LogEvent.WORKER_ENTRY_IGNORED, id, value.length);
            }
            mDepartureDetector.onEntryOverwritten(id);
            unlist(id);
            return;
        }
        WorkerEntry worker = decoded.get();
        mIgnoredIds.remove(id);
        mListedIds.add(id);
        mDepartureDetector.onEntryWritten(worker);
        mThread.execute(() -> mListener.onListed(worker));
    }

    private void unlist(String id) {
        mListedIds.remove(id);
        mThread.execute(() -> mListener.onUnlisted(id));
    }

    @Override
    public void onSynced(long version, long storeMillis) {
        Set<String> listed = Set.copyOf(mListedIds);
        List<WorkerEntry> departed = mDepartureDetector.finishRead(storeMillis);
        mThread.execute(
                () -> {
                    mListener.onReadFinished(listed);
                    departed.forEach(mListener::onDeparted);
                });
    }

    @Override
    public void onReadFailed(TableError error) {
        // Listed workers stay in use until the store answers again.
        mDepartureDetector.onReadFailed();
    }
}
