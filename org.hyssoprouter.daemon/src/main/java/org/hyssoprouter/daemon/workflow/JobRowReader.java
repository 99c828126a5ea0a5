package org.hyssoprouter.daemon.workflow;

import java.io.IOException;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;

/** Decodes the rows of the jobs table for the owner; skips those of finished workflows. */
final class JobRowReader implements TableFollower.Listener {
    private static final EventLogger LOG = EventLogger.of(JobRowReader.class);

    private final Listener mListener;

    /** Receives what the rows say. All calls come from the follower's thread. */
    interface Listener {
        /**
         * All rows up to a time have been read.
         *
         * @param storeMillis clock of the store, in milliseconds
         */
        void onSynced(long storeMillis);

        /** A workflow was accepted. */
        void onAccepted(WorkflowSpec spec);

        /** A workflow was cancelled. */
        void onCancelled(String id);

        /** A workflow was cancelled that had no row then. */
        void onCancelledEarly(PartitionTable.Key key, long version, EarlyCancelRow row);

        /** The cancellation of a workflow that had no row was deleted. */
        void onEarlyCancelDeleted(PartitionTable.Key key);
    }

    JobRowReader(Listener listener) {
        mListener = listener;
    }

    @Override
    public void onSynced(long version, long storeMillis) {
        mListener.onSynced(storeMillis);
    }

    @Override
    public void onRow(PartitionTable.Entry entry) {
        byte[] value = entry.value();
        String key = entry.key().name();
        if (Schema.isEarlyCancelKey(key)) {
            onEarlyCancelRow(entry);
            return;
        }
        if (value == null) {
            return;
        }
        if (Schema.isCancelKey(key)) {
            mListener.onCancelled(Schema.workflowIdOfCancelKey(key));
            return;
        }
        if (Schema.isFinished(value)) {
            return;
        }
        try {
            mListener.onAccepted(Schema.decodeJob(value).withSharedParts());
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
        }
    }

    private void onEarlyCancelRow(PartitionTable.Entry entry) {
        byte[] value = entry.value();
        if (value == null) {
            mListener.onEarlyCancelDeleted(entry.key());
            return;
        }
        try {
            EarlyCancelRow row = MessageCodec.decode(value, EarlyCancelRow.class);
            mListener.onCancelledEarly(entry.key(), entry.version(), row);
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, entry.key().name(), e.getMessage());
        }
    }
}
