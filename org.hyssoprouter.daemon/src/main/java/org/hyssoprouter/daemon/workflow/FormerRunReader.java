package org.hyssoprouter.daemon.workflow;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.internal.workflow.WorkflowPartRow;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/** Reads the run rows of the former owner and passes them on once they are complete. */
final class FormerRunReader implements TableFollower.Listener {
    private static final EventLogger LOG = EventLogger.of(FormerRunReader.class);

    private final Map<String, WorkflowRow> mRows = new HashMap<>();
    private final Map<String, Map<String, @Nullable WorkflowPartRow>> mParts = new HashMap<>();
    private final Consumer<Map<String, FormerWorkflow>> mConsumer;

    /**
     * Creates a reader.
     *
     * @param consumer receives the workflows by identifier, on the follower's thread
     */
    FormerRunReader(Consumer<Map<String, FormerWorkflow>> consumer) {
        mConsumer = consumer;
    }

    @Override
    public void onReset() {
        mRows.clear();
        mParts.clear();
    }

    @Override
    public void onRow(PartitionTable.Entry entry) {
        byte[] value = entry.value();
        if (value == null) {
            return;
        }
        String key = entry.key().name();
        if (Schema.isPartKey(key)) {
            mParts.computeIfAbsent(Schema.workflowIdOfPartKey(key), it -> new HashMap<>())
                    .put(Schema.partOfKey(key), decode(key, value, WorkflowPartRow.class));
            return;
        }
        WorkflowRow row = decode(key, value, WorkflowRow.class);
        if (row != null) {
            mRows.put(key, row);
        }
    }

    private static <T> @Nullable T decode(String key, byte[] value, Class<T> type) {
        try {
            return MessageCodec.decode(value, type);
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
            return null;
        }
    }

    @Override
    public void onSynced(long version, long storeMillis) {
        Map<String, FormerWorkflow> workflows = new HashMap<>();
        mRows.forEach(
                (id, row) ->
                        workflows.put(
                                id, FormerWorkflow.of(row, mParts.getOrDefault(id, Map.of()))));
        for (String id : mParts.keySet()) {
            if (!mRows.containsKey(id)) {
                LOG.log(LogEvent.ROW_UNREADABLE, id, "parts without a main row");
            }
        }
        mConsumer.accept(workflows);
    }
}
