package org.hyssoprouter.internal.workflow;

import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Occurrences of a workflow. Those with a step that waits or runs are open. Others take next to no
 * memory: they have not begun, are suspended, as enough others wait for the same steps, or have
 * ended.
 */
final class Occurrences {
    private final Workflow mWorkflow;
    private final TreeMap<Integer, Occurrence> mOpen = new TreeMap<>();

    /** Suspended occurrences by the steps that are done. */
    private final Map<BitSet, Suspended> mSuspended = new LinkedHashMap<>();

    private final OccurrenceSet mEnded = new OccurrenceSet();

    /** Number below which all occurrences have begun. */
    private long mNext;

    /** Number of occurrences whose time has come. */
    private long mDueCount;

    /**
     * Suspended occurrences in which the same steps are done.
     *
     * @param ready steps whose turn has come
     */
    record Suspended(BitSet done, int[] ready, OccurrenceSet numbers) {}

    Occurrences(Workflow workflow) {
        mWorkflow = workflow;
    }

    /** Returns an occurrence that has not ended, which is open from now on. */
    Occurrence open(int number) {
        Occurrence open = mOpen.get(number);
        return open == null ? open(number, takeSuspended(number)) : open;
    }

    private Occurrence open(int number, BitSet done) {
        Occurrence occurrence = new Occurrence(mWorkflow, number, done);
        mOpen.put(number, occurrence);
        return occurrence;
    }

    private BitSet takeSuspended(int number) {
        for (Suspended group : mSuspended.values()) {
            if (group.numbers().contains(number)) {
                remove(group, number);
                return group.done();
            }
        }
        return new BitSet();
    }

    private void remove(Suspended group, int number) {
        group.numbers().remove(number);
        if (group.numbers().isEmpty()) {
            mSuspended.remove(group.done());
        }
    }

    /** Returns an open occurrence, or null. */
    @Nullable Occurrence get(int number) {
        return mOpen.get(number);
    }

    /** Returns the open occurrences in the order of their numbers. */
    Collection<Occurrence> open() {
        return mOpen.values();
    }

    /** Closes an occurrence and records it as ended if all of its steps are done. */
    void closeIfDone(Occurrence occurrence) {
        if (occurrence.isDone()) {
            close(occurrence);
            mEnded.add(occurrence.mNumber);
        }
    }

    private void close(Occurrence occurrence) {
        mOpen.remove(occurrence.mNumber, occurrence);
        occurrence.clearDeferred();
    }

    /** Suspends an occurrence of a schedule if none of its steps waits or runs. */
    void suspendIfIdle(Occurrence occurrence) {
        if (mWorkflow.mSpec.hasSchedule()
                && occurrence.isIdle()
                && mOpen.get(occurrence.mNumber) == occurrence) {
            close(occurrence);
            groupOf(occurrence.doneSteps()).numbers().add(occurrence.mNumber);
        }
    }

    private Suspended groupOf(BitSet done) {
        return mSuspended.computeIfAbsent(
                (BitSet) done.clone(),
                key -> new Suspended(key, mWorkflow.graph().readySteps(key), new OccurrenceSet()));
    }

    /** Returns the suspended occurrences, grouped by the steps that are done. */
    Collection<Suspended> suspended() {
        return List.copyOf(mSuspended.values());
    }

    /** Opens the first occurrence of a group, which must not be empty. */
    Occurrence resume(Suspended group) {
        int number = group.numbers().first();
        remove(group, number);
        return open(number, group.done());
    }

    /** Records how many occurrences are due, in the order of their numbers. */
    void setDueCount(long count) {
        mDueCount = count;
    }

    /** Opens the first due occurrence that has not begun; returns null if there is none. */
    @Nullable Occurrence openNextDue() {
        skipBegun();
        return mNext < mDueCount ? open((int) mNext, new BitSet()) : null;
    }

    private void skipBegun() {
        while (mNext < mDueCount) {
            int number = (int) mNext;
            if (mOpen.containsKey(number)) {
                mNext++;
                continue;
            }
            long next = mEnded.nextAbsent(number);
            for (Suspended group : mSuspended.values()) {
                next = Math.max(next, group.numbers().nextAbsent(number));
            }
            if (next == mNext) {
                return;
            }
            mNext = next;
        }
    }

    long endedCount() {
        return mEnded.count();
    }

    OccurrenceSet ended() {
        return mEnded;
    }

    void restoreEnded(WorkflowRow.OccurrenceRange range) {
        mEnded.add(range);
    }

    /** Restores which steps of suspended occurrences are done. Those of the row may overlap. */
    void restoreDone(WorkflowRow.DoneSteps row) {
        BitSet done = row.toBits(mWorkflow.mSpec.steps().size());
        WorkflowRow.OccurrenceRange range = row.occurrences();
        boolean isKnown =
                mEnded.containsAnyOf(range)
                        || mSuspended.values().stream()
                                .anyMatch(it -> it.numbers().containsAnyOf(range));
        if (!isKnown) {
            groupOf(done).numbers().add(range);
            return;
        }
        for (int number = range.first(); number <= range.last(); number++) {
            if (!mEnded.contains(number)) {
                BitSet all = (BitSet) takeSuspended(number).clone();
                all.or(done);
                groupOf(all).numbers().add(number);
            }
        }
    }

    /** Returns the steps that are done in occurrences that have not ended. */
    List<WorkflowRow.DoneSteps> doneSteps() {
        TreeMap<Integer, WorkflowRow.DoneSteps> byNumber = new TreeMap<>();
        for (Occurrence occurrence : mOpen.values()) {
            if (!occurrence.doneSteps().isEmpty()) {
                int number = occurrence.mNumber;
                byNumber.put(
                        number,
                        WorkflowRow.DoneSteps.of(number, number, bitsOf(occurrence.doneSteps())));
            }
        }
        for (Suspended group : mSuspended.values()) {
            List<Long> bits = bitsOf(group.done());
            for (WorkflowRow.OccurrenceRange range : group.numbers().ranges(0)) {
                byNumber.put(
                        range.first(), WorkflowRow.DoneSteps.of(range.first(), range.last(), bits));
            }
        }
        return WorkflowRow.DoneSteps.merge(byNumber.values());
    }

    private static List<Long> bitsOf(BitSet steps) {
        return Arrays.stream(steps.toLongArray()).boxed().toList();
    }

    /** Lets go of all that a workflow in a terminal state does not need: steps without room. */
    void releaseEnded() {
        mSuspended.clear();
        for (Occurrence occurrence : List.copyOf(mOpen.values())) {
            List.copyOf(occurrence.steps()).stream()
                    .filter(step -> !step.hasRoom())
                    .forEach(occurrence::release);
            if (occurrence.isIdle()) {
                close(occurrence);
            }
        }
    }
}
