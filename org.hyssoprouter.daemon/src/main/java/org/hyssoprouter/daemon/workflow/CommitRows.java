package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowPartRow;
import org.hyssoprouter.internal.workflow.WorkflowParts;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;

/**
 * Chooses the rows of each commit of the owner. With a slow store, each commit is full, and what it
 * includes decides who waits. The state of a workflow that is too large for one row is divided, and
 * its rows may take several commits.
 */
final class CommitRows {
    /** A changed workflow has a row of its runs and, if its state changed, one of its state. */
    private static final int ROWS_PER_WORKFLOW = 2;

    /** Maximum size of the rows, which the store receives as Base64 within 1 MB. */
    private static final int MAX_BYTES = 400_000;

    /** Rows of a commit that workflows in a terminal state may fill; callers wait for them. */
    private static final int MAX_FINAL_ROWS = 44;

    /** Rows that workflows with starts may fill as well; the rest is for other changes. */
    private static final int MAX_STARTING_ROWS = 84;

    /** Maximum number of workflows with starts that wait for a commit. */
    static final int MAX_STARTING_WORKFLOWS = MAX_STARTING_ROWS / ROWS_PER_WORKFLOW;

    /** Size from which a row is divided, as every change writes it anew. */
    private static final int MAX_UNDIVIDED_BYTES = 32_768;

    private static final EventLogger LOG = EventLogger.of(CommitRows.class);

    private final PoolScheduler mScheduler;
    private final int mMaxRowBytes;
    private final Map<String, WorkflowState> mPublishedStates = new HashMap<>();
    private final Map<String, DividedWorkflow> mDivided = new HashMap<>();

    /** Keys of rows to delete, of workflows that are not known any more. */
    private final Set<String> mLeftoverKeys = new LinkedHashSet<>();

    /**
     * Creates the rows of one ownership.
     *
     * @param maxRowBytes size of a row's value that the store accepts, in bytes
     */
    CommitRows(PoolScheduler scheduler, int maxRowBytes) {
        mScheduler = scheduler;
        mMaxRowBytes = maxRowBytes;
    }

    /** Rows that a commit includes, and what follows once they are durable. */
    static final class Included {
        private final Set<String> mComplete = new LinkedHashSet<>();

        /** Names of the rows that are left to write, by workflow. */
        private final Map<String, Set<String>> mRemaining = new LinkedHashMap<>();

        private final Map<String, WorkflowStatus> mStates = new HashMap<>();
        private final List<Runnable> mRecords = new ArrayList<>();
        private int mBytes;

        /** Returns the workflows whose present state is durable with the commit. */
        Set<String> complete() {
            return mComplete;
        }

        /** Returns the names of the rows that are left to write, by workflow. */
        Map<String, Set<String>> remaining() {
            return mRemaining;
        }

        /** Returns the states that the commit writes. */
        Map<String, WorkflowStatus> states() {
            return mStates;
        }

        /** Returns the workflows with rows in the commit. */
        Set<String> workflows() {
            Set<String> ids = new LinkedHashSet<>(mComplete);
            ids.addAll(mRemaining.keySet());
            return ids;
        }

        /** Records that the rows are durable. */
        void recordDurable() {
            mRecords.forEach(Runnable::run);
        }
    }

    /** Records a state that the states table holds already. */
    void recordPublishedState(String id, WorkflowState state) {
        mPublishedStates.put(id, state);
    }

    /** Returns whether the states table holds a terminal state of a workflow. */
    boolean isPublishedFinal(String id) {
        WorkflowState state = mPublishedStates.get(id);
        return state != null && state.isFinal();
    }

    /** Records the parts that a former owner has written for a workflow that the scheduler has. */
    void recordFormerParts(String id, FormerWorkflow former) {
        mScheduler
                .rows()
                .partsOf(id)
                .forEach(
                        layout -> {
                            DividedWorkflow divided =
                                    new DividedWorkflow(layout, !former.isDivided());
                            divided.recordFormer(former.parts());
                            mDivided.put(id, divided);
                        });
    }

    /** Deletes rows that no workflow needs, as far as later commits have room for it. */
    void deleteLeftover(List<String> keys) {
        mLeftoverKeys.addAll(keys);
    }

    /** Returns whether rows wait to be deleted. */
    boolean hasLeftovers() {
        return !mLeftoverKeys.isEmpty();
    }

    /** Returns the number of workflows whose starts fit into a commit of these changes. */
    int maxStartingWorkflows(Set<String> changedIds) {
        int finalRows =
                Math.min(MAX_FINAL_ROWS, finalWorkflows(changedIds).size() * ROWS_PER_WORKFLOW);
        return (MAX_STARTING_ROWS - finalRows) / ROWS_PER_WORKFLOW;
    }

    private Set<String> finalWorkflows(Set<String> changedIds) {
        Set<String> ids = new LinkedHashSet<>();
        changedIds.stream().filter(mScheduler::isFinal).forEach(ids::add);
        return ids;
    }

    /** Returns the names of the rows that are to be written for a workflow. */
    Set<String> waitingRows(String id) {
        DividedWorkflow divided = mDivided.get(id);
        Option<WorkflowRow> main = divided == null ? Option.none() : mScheduler.rows().mainRow(id);
        if (divided == null || main.isEmpty()) {
            return Set.of(DividedWorkflow.MAIN);
        }
        divided.update(main.get());
        return divided.remaining();
    }

    /** Returns whether a commit makes the row with a task's run durable. */
    boolean includes(Included included, TaskKey task) {
        String id = task.step().workflow();
        if (included.mComplete.contains(id)) {
            return true;
        }
        DividedWorkflow divided = mDivided.get(id);
        Set<String> remaining = included.mRemaining.get(id);
        return divided != null
                && remaining != null
                && !remaining.contains(WorkflowParts.nameOf(task))
                && (divided.isUndividedDurable() || !remaining.contains(DividedWorkflow.MAIN));
    }

    /**
     * Adds the rows of changed workflows to a batch until it is full: first of those in a terminal
     * state, whose callers wait for the result, then of those with pending starts, then of the
     * others, each in order of change. Each has a share that the ones before it cannot take.
     *
     * @param limits limits of the batch
     */
    Included put(
            PartitionTable.Batch batch,
            Set<String> changedIds,
            Set<String> startingIds,
            Limits limits) {
        Set<String> starting = new LinkedHashSet<>(changedIds);
        starting.retainAll(startingIds);
        Included included = new Included();
        putWorkflows(
                batch,
                finalWorkflows(changedIds),
                included,
                limits.budget(MAX_FINAL_ROWS, MAX_BYTES / 2));
        putWorkflows(batch, starting, included, limits.budget(MAX_STARTING_ROWS, MAX_BYTES / 2));
        putWorkflows(batch, changedIds, included, limits.budget(limits.rows(), MAX_BYTES));
        deleteLeftovers(batch, included, limits);
        return included;
    }

    /**
     * Limits of a batch.
     *
     * @param rows maximum number of rows
     * @param workflows maximum number of workflows
     */
    record Limits(int rows, int workflows) {
        Budget budget(int maxRows, int maxBytes) {
            return new Budget(Math.min(rows, maxRows), maxBytes, workflows);
        }
    }

    /** Size up to which a batch is filled. */
    private record Budget(int rows, int bytes, int workflows) {
        boolean allows(PartitionTable.Batch batch, Included included, int rowCount) {
            return batch.writes().size() + rowCount <= rows && included.mBytes < bytes;
        }
    }

    private void deleteLeftovers(PartitionTable.Batch batch, Included included, Limits limits) {
        List<String> keys = new ArrayList<>();
        for (String key : mLeftoverKeys) {
            if (batch.writes().size() >= limits.rows()) {
                break;
            }
            batch.delete(Schema.RUNS, key);
            keys.add(key);
        }
        included.mRecords.add(() -> keys.forEach(mLeftoverKeys::remove));
    }

    /** Adds the rows of workflows that are not included yet. */
    private void putWorkflows(
            PartitionTable.Batch batch, Set<String> candidates, Included included, Budget budget) {
        for (String id : candidates) {
            if (!budget.allows(batch, included, ROWS_PER_WORKFLOW)
                    || included.mComplete.size() + included.mRemaining.size()
                            >= budget.workflows()) {
                return;
            }
            if (included.mComplete.contains(id) || included.mRemaining.containsKey(id)) {
                continue;
            }
            if (mScheduler.rows().contains(id)) {
                putWorkflow(batch, id, included, budget);
            } else {
                included.mComplete.add(id);
            }
        }
    }

    private void putWorkflow(
            PartitionTable.Batch batch, String id, Included included, Budget budget) {
        DividedWorkflow divided = mDivided.get(id);
        if (divided == null) {
            WorkflowRow row = mScheduler.row(id).get();
            byte[] encoded = MessageCodec.encode(row);
            if (encoded.length <= Math.min(MAX_UNDIVIDED_BYTES, mMaxRowBytes / 2)) {
                putMain(batch, id, row, encoded, included);
                included.mComplete.add(id);
                return;
            }
            divided = divide(id);
        }
        divided.update(mScheduler.rows().mainRow(id).get());
        Set<String> remaining = putDivided(batch, id, divided, included, budget);
        if (remaining.isEmpty()) {
            included.mComplete.add(id);
        } else {
            included.mRemaining.put(id, remaining);
        }
    }

    private DividedWorkflow divide(String id) {
        boolean undividedIsDurable = mPublishedStates.containsKey(id);
        DividedWorkflow divided =
                new DividedWorkflow(mScheduler.rows().partsOf(id).get(), undividedIsDurable);
        mDivided.put(id, divided);
        LOG.log(LogEvent.WORKFLOW_ROW_DIVIDED, id, undividedIsDurable);
        return divided;
    }

    /**
     * Adds rows of a divided workflow, each after those that it relies on. Returns the names of
     * those that are left to write.
     */
    private Set<String> putDivided(
            PartitionTable.Batch batch,
            String id,
            DividedWorkflow divided,
            Included included,
            Budget budget) {
        Set<String> remaining = divided.remaining();
        boolean mainFirst = !divided.isUndividedDurable();
        List<String> names = new ArrayList<>();
        if (mainFirst && divided.isMainChanged()) {
            names.add(DividedWorkflow.MAIN);
        }
        names.addAll(divided.guards());
        if (mainFirst) {
            names.addAll(divided.deletions());
            names.addAll(divided.slices());
        } else {
            names.addAll(divided.slices());
            names.add(DividedWorkflow.MAIN);
            names.addAll(divided.deletions());
        }
        for (String name : names) {
            boolean isMain = name.equals(DividedWorkflow.MAIN);
            if (!budget.allows(batch, included, isMain ? ROWS_PER_WORKFLOW : 1)) {
                return remaining;
            }
            if (isMain) {
                putDividedMain(batch, id, divided, included);
            } else {
                putPart(batch, id, name, divided, included);
            }
            remaining.remove(name);
        }
        return remaining;
    }

    private void putDividedMain(
            PartitionTable.Batch batch, String id, DividedWorkflow divided, Included included) {
        WorkflowRow main = divided.main();
        putMain(batch, id, main, MessageCodec.encode(main), included);
        included.mRecords.add(() -> divided.recordMain(main));
    }

    private void putPart(
            PartitionTable.Batch batch,
            String id,
            String name,
            DividedWorkflow divided,
            Included included) {
        WorkflowPartRow part = divided.part(name);
        String key = Schema.partKey(id, name);
        if (part == null) {
            batch.delete(Schema.RUNS, key);
        } else {
            byte[] encoded = encode(key, part);
            batch.put(Schema.RUNS, key, encoded);
            included.mBytes += encoded.length;
        }
        included.mRecords.add(
                () -> {
                    divided.recordPart(name, part);
                    if (divided.isEmpty()) {
                        mDivided.remove(id, divided);
                    }
                });
    }

    /** Encodes a part; without checkpoints, which only save work, if they make it too large. */
    private byte[] encode(String key, WorkflowPartRow part) {
        byte[] encoded = MessageCodec.encode(part);
        if (encoded.length <= mMaxRowBytes * 3 / 4) {
            return encoded;
        }
        LOG.log(LogEvent.CHECKPOINTS_NOT_STORED, key, encoded.length);
        return MessageCodec.encode(part.withoutCheckpoints());
    }

    /** Adds the main row of a workflow and, if it has changed, its state. */
    private void putMain(
            PartitionTable.Batch batch,
            String id,
            WorkflowRow row,
            byte[] encoded,
            Included included) {
        batch.put(Schema.RUNS, id, encoded);
        included.mBytes += encoded.length;
        if (mPublishedStates.get(id) != row.state()) {
            WorkflowStatus status =
                    new WorkflowStatus(row.state(), mScheduler.rows().workspaceOf(id));
            batch.put(Schema.STATES, id, Schema.encodeState(status));
            included.mStates.put(id, status);
            included.mRecords.add(() -> mPublishedStates.put(id, row.state()));
        }
    }
}
