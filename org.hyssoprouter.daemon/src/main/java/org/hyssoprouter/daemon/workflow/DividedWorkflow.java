package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.internal.workflow.WorkflowPartRow;
import org.hyssoprouter.internal.workflow.WorkflowParts;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.jspecify.annotations.Nullable;

/**
 * Rows of a workflow that is too large for one, and which of them are durable. The main row comes
 * before the parts, so that there is no part without it. Only if an undivided row is durable does
 * the main row come last: until then the undivided row holds what no part holds yet.
 */
final class DividedWorkflow {
    /** Name of the main row. */
    static final String MAIN = "";

    /** Content of a row that could not be read; equal to no other. */
    private static final WorkflowPartRow UNREADABLE =
            new WorkflowPartRow(
                    List.of(), List.of(new WorkflowPartRow.OccurrenceRange(Integer.MAX_VALUE, -1)));

    private final WorkflowParts mParts;
    private final Map<String, WorkflowPartRow> mDurable = new HashMap<>();

    /** Names of the parts to write; what waits longest comes first. */
    private final Set<String> mWaiting = new LinkedHashSet<>();

    private Map<String, WorkflowPartRow> mCurrent = Map.of();
    private @Nullable WorkflowRow mMain;
    private @Nullable WorkflowRow mDurableMain;
    private boolean mUndividedIsDurable;

    /**
     * Creates the rows of a workflow of which no part is durable.
     *
     * @param undividedIsDurable whether the durable main row holds tasks
     */
    DividedWorkflow(WorkflowParts parts, boolean undividedIsDurable) {
        mParts = parts;
        mUndividedIsDurable = undividedIsDurable;
    }

    /** Records the parts that a former owner has written; those that cannot be read are null. */
    void recordFormer(Map<String, @Nullable WorkflowPartRow> parts) {
        parts.forEach((name, part) -> mDurable.put(name, part == null ? UNREADABLE : part));
    }

    /** Sets the state to store. */
    void update(WorkflowRow row) {
        mMain = row.withoutSteps();
        mCurrent = mParts.split(row);
        Set<String> changed = new HashSet<>();
        mCurrent.forEach(
                (name, part) -> {
                    if (!part.equals(mDurable.get(name))) {
                        changed.add(name);
                    }
                });
        mDurable.keySet().stream().filter(it -> !mCurrent.containsKey(it)).forEach(changed::add);
        mWaiting.retainAll(changed);
        mWaiting.addAll(changed);
    }

    /** Returns whether the main row must be written before any part. */
    boolean isMainFirst() {
        return !mUndividedIsDurable && isMainChanged();
    }

    /** Returns whether the main row differs from the durable one. */
    boolean isMainChanged() {
        return mUndividedIsDurable || mMain == null || !mMain.equals(mDurableMain);
    }

    /** Returns the names of the parts to write, in order. */
    List<String> waitingParts() {
        return new ArrayList<>(mWaiting);
    }

    /** Returns the content of a part, or null if its row is to be deleted. */
    @Nullable WorkflowPartRow part(String name) {
        return mCurrent.get(name);
    }

    /** Returns the name of the part that holds a task. */
    String nameOf(TaskKey task) {
        return mParts.nameOf(task);
    }

    /** Records that the main row is durable. */
    void recordMain(WorkflowRow main) {
        mDurableMain = main;
        mUndividedIsDurable = false;
    }

    /** Records that a part is durable; null if its row was deleted. */
    void recordPart(String name, @Nullable WorkflowPartRow part) {
        if (part == null) {
            mDurable.remove(name);
        } else {
            mDurable.put(name, part);
        }
        mWaiting.remove(name);
    }

    /** Returns whether no part is durable or to be written. */
    boolean isEmpty() {
        return mDurable.isEmpty() && mCurrent.isEmpty();
    }
}
