package org.hyssoprouter.daemon.workflow;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.PartitionTable;

/** Follows the list of workers in the table store and passes its changes to the owner's thread. */
final class WorkerList implements TableFollower.Listener {
    private final WorkerSource mSource;
    private final SerialExecutor mThread;
    private final Listener mListener;
    private final WorkerDepartures mDepartures;
    private final Set<String> mListed = new HashSet<>();

    /** Hears of changes, on the owner's thread. */
    interface Listener {
        /** An entry was written. */
        void listed(WorkerEntry worker);

        /** An entry was removed; the worker may run on. */
        void unlisted(String id);

        /** A worker has ended. */
        void left(WorkerEntry worker);

        /** A reading has ended, after which these workers are listed. */
        void read(Set<String> ids);
    }

    WorkerList(
            WorkerSource source, SerialExecutor thread, long heartbeatMillis, Listener listener) {
        mSource = source;
        mThread = thread;
        mListener = listener;
        mDepartures = new WorkerDepartures(heartbeatMillis);
    }

    @Override
    public void reset() {
        mListed.clear();
        mDepartures.reset();
    }

    @Override
    public void row(PartitionTable.Entry entry) {
        String id = entry.key().name();
        if (entry.value() == null) {
            mListed.remove(id);
            mDepartures.removed(id);
            mThread.execute(() -> mListener.unlisted(id));
            return;
        }
        mSource.decode(entry)
                .forEach(
                        worker -> {
                            mListed.add(id);
                            mDepartures.written(worker);
                            mThread.execute(() -> mListener.listed(worker));
                        });
    }

    @Override
    public void synced(long version, long storeMillis) {
        Set<String> listed = Set.copyOf(mListed);
        List<WorkerEntry> left = mDepartures.read(storeMillis);
        mThread.execute(
                () -> {
                    mListener.read(listed);
                    left.forEach(mListener::left);
                });
    }

    @Override
    public void failed(TableError error) {
        // What was listed stays in use until the store answers again.
        mDepartures.failed();
    }
}
