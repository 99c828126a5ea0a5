package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.lib.workflow.TaskKey;
import org.hyssoprouter.lib.workflow.TaskStart;

/**
 * Starts that wait until the rows of their runs are durable. The starts of a gang, whose rows may
 * take several commits, become ready together.
 */
final class PendingStarts {
    private final Predicate<StepKey> mIsGang;
    private List<Pending> mStarts = new ArrayList<>();

    /** Start, and whether its row is durable or part of the commit in flight. */
    private static final class Pending {
        final TaskStart mStart;
        boolean mIncluded;

        Pending(TaskStart start) {
            mStart = start;
        }
    }

    /**
     * Starts that become ready with a commit.
     *
     * @param ready starts to send once the commit is durable
     * @param included starts that the commit includes the rows of
     */
    record Taken(List<TaskStart> ready, List<TaskStart> included) {
        static final Taken NONE = new Taken(List.of(), List.of());
    }

    PendingStarts(Predicate<StepKey> isGang) {
        mIsGang = isGang;
    }

    void addAll(List<TaskStart> starts) {
        starts.forEach(start -> mStarts.add(new Pending(start)));
    }

    int count() {
        return mStarts.size();
    }

    /** Returns the workflows with pending starts. */
    Set<String> workflows() {
        Set<String> ids = new LinkedHashSet<>();
        mStarts.forEach(pending -> ids.add(pending.mStart.task().step().workflow()));
        return ids;
    }

    /**
     * Removes the starts that become ready with a commit.
     *
     * @param isIncluded whether the commit makes the row with a task's run durable
     */
    Taken take(Predicate<TaskKey> isIncluded) {
        List<TaskStart> included = new ArrayList<>();
        Set<StepKey> unreadyGangs = new HashSet<>();
        for (Pending pending : mStarts) {
            TaskKey task = pending.mStart.task();
            if (!pending.mIncluded && isIncluded.test(task)) {
                pending.mIncluded = true;
                included.add(pending.mStart);
            }
            if (!pending.mIncluded && mIsGang.test(task.step())) {
                unreadyGangs.add(task.step());
            }
        }
        List<TaskStart> ready = new ArrayList<>();
        List<Pending> waiting = new ArrayList<>();
        for (Pending pending : mStarts) {
            boolean isReady =
                    pending.mIncluded && !unreadyGangs.contains(pending.mStart.task().step());
            if (isReady) {
                ready.add(pending.mStart);
            } else {
                waiting.add(pending);
            }
        }
        mStarts = waiting;
        return new Taken(ready, included);
    }

    /** Takes back the starts of a commit that has had no effect and is not sent again. */
    void restore(Taken taken) {
        Set<TaskStart> notDurable = new HashSet<>(taken.included());
        List<Pending> starts = new ArrayList<>();
        for (TaskStart start : taken.ready()) {
            Pending pending = new Pending(start);
            pending.mIncluded = true;
            starts.add(pending);
        }
        starts.addAll(mStarts);
        for (Pending pending : starts) {
            pending.mIncluded &= !notDurable.contains(pending.mStart);
        }
        mStarts = starts;
    }

    /** Removes and returns the starts of a workflow. */
    List<TaskStart> remove(String workflow) {
        List<TaskStart> removed = new ArrayList<>();
        List<Pending> others = new ArrayList<>();
        for (Pending pending : mStarts) {
            if (pending.mStart.task().step().workflow().equals(workflow)) {
                removed.add(pending.mStart);
            } else {
                others.add(pending);
            }
        }
        mStarts = others;
        return removed;
    }
}
