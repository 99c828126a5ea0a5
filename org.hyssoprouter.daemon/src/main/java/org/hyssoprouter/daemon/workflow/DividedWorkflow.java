package org.hyssoprouter.daemon.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.internal.workflow.WorkflowPartRow;
import org.hyssoprouter.internal.workflow.WorkflowParts;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.jspecify.annotations.Nullable;

/**
 * Rows of a workflow that is too large for one, and which of them are durable. The main row comes
 * before the parts, so that there is no part without it. Only if an undivided row is durable does
 * the main row come after the parts: until then the undivided row holds what no part holds yet.
 * Rows are deleted after all that says that they are not needed.
 */
final class DividedWorkflow {
    /** Name of the main row. */
    static final String MAIN = "";

    /** Content of a row that could not be read; equal to no other. */
    private static final WorkflowPartRow UNREADABLE =
            new WorkflowPartRow(
                    List.of(),
                    List.of(new WorkflowRow.OccurrenceRange(Integer.MAX_VALUE, -1)),
                    List.of());

    private final WorkflowParts mParts;
    private final Map<String, WorkflowPartRow> mDurable = new HashMap<>();

    /** Names of changed parts that others rely on. */
    private final Set<String> mGuards = new LinkedHashSet<>();

    /** Names of changed parts with tasks; what waits longest comes first. */
    private final Set<String> mSlices = new LinkedHashSet<>();

    /** Names of parts whose rows are not needed any more. */
    private final Set<String> mDeletions = new LinkedHashSet<>();

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

    /**
     * Takes the state to store.
     *
     * @param main main row of the workflow
     */
    void update(WorkflowRow main) {
        mMain = main;
        mParts.refresh();
        Set<String> names = new HashSet<>();
        update(mGuards, mParts.guardNames(), names);
        update(mSlices, mParts.sliceNames(), names);
        mDeletions.addAll(mDurable.keySet());
        mDeletions.removeAll(names);
        mDeletions.retainAll(mDurable.keySet());
    }

    private void update(Set<String> waiting, Iterable<String> present, Set<String> names) {
        Set<String> changed = new LinkedHashSet<>();
        for (String name : present) {
            names.add(name);
            if (!mParts.isStored(name, mDurable.get(name))) {
                changed.add(name);
            }
        }
        waiting.retainAll(changed);
        waiting.addAll(changed);
    }

    /** Returns whether an undivided row is durable, which the main row replaces at the end. */
    boolean isUndividedDurable() {
        return mUndividedIsDurable;
    }

    /** Returns whether the main row differs from the durable one. */
    boolean isMainChanged() {
        return mUndividedIsDurable || mMain == null || !mMain.equals(mDurableMain);
    }

    /** Returns the main row to write. */
    WorkflowRow main() {
        if (mMain == null) {
            throw new IllegalStateException("no state was taken");
        }
        return mMain;
    }

    /** Returns the names of changed parts that others rely on. */
    Collection<String> guards() {
        return mGuards;
    }

    /** Returns the names of changed parts with tasks; what waits longest comes first. */
    Collection<String> slices() {
        return mSlices;
    }

    /** Returns the names of parts whose rows are not needed any more. */
    Collection<String> deletions() {
        return mDeletions;
    }

    /** Returns the names of all rows to write or delete. */
    Set<String> remaining() {
        Set<String> names = new HashSet<>(mGuards);
        names.addAll(mSlices);
        names.addAll(mDeletions);
        if (isMainChanged()) {
            names.add(MAIN);
        }
        return names;
    }

    /** Returns the content of a part, or null if its row is to be deleted. */
    @Nullable WorkflowPartRow part(String name) {
        return mParts.part(name);
    }

    /** Records that the main row is durable. */
    void recordMain(WorkflowRow main) {
        mDurableMain = main;
        mUndividedIsDurable = false;
    }

    /** Records that a part is durable, or null that its row is deleted. */
    void recordPart(String name, @Nullable WorkflowPartRow part) {
        if (part == null) {
            mDurable.remove(name);
        } else {
            mDurable.put(name, part);
        }
        mGuards.remove(name);
        mSlices.remove(name);
        mDeletions.remove(name);
    }

    /** Returns whether no part is durable or to be written. */
    boolean isEmpty() {
        return mDurable.isEmpty() && mGuards.isEmpty() && mSlices.isEmpty();
    }
}
