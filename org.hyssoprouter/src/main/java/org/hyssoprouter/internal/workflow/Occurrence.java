package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import org.hyssoprouter.lib.workflow.StepKey;
import org.jspecify.annotations.Nullable;

/**
 * Open occurrence of a workflow. Holds the steps that wait or run, with their tasks; of the others
 * only whether they are done.
 */
final class Occurrence {
    final Workflow mWorkflow;
    final int mNumber;
    private final BitSet mDone;
    private final Map<Integer, Step> mSteps = new TreeMap<>();

    /** Steps whose turn has come, but that are not queued yet. */
    private final BitSet mDeferred = new BitSet();

    /** Number from which the deferred steps are queued next. */
    private int mNextDeferred;

    /**
     * Creates an occurrence without held steps.
     *
     * @param done steps that are done
     */
    Occurrence(Workflow workflow, int number, BitSet done) {
        mWorkflow = workflow;
        mNumber = number;
        mDone = (BitSet) done.clone();
    }

    /** Returns a step, which is held from now on. */
    Step hold(int number) {
        return mSteps.computeIfAbsent(
                number,
                it ->
                        new Step(
                                mWorkflow,
                                new StepKey(mWorkflow.id(), mNumber, it),
                                mWorkflow.mSpec.steps().get(it)));
    }

    /** Returns a step, or null if it is not held. */
    @Nullable Step step(int number) {
        return mSteps.get(number);
    }

    /** Returns the held steps in the order of their numbers. */
    Collection<Step> steps() {
        return mSteps.values();
    }

    boolean isIdle() {
        return mSteps.isEmpty();
    }

    /** Lets go of a step, which is done or whose workflow has ended. */
    void release(Step step) {
        mSteps.remove(step.mKey.step(), step);
    }

    void markDone(int step) {
        mDone.set(step);
    }

    /** Returns the steps that are done. */
    BitSet doneSteps() {
        return mDone;
    }

    boolean isDone() {
        return mDone.cardinality() == mWorkflow.mSpec.steps().size();
    }

    /** Records that a step whose turn has come is to be queued later. */
    void defer(int step) {
        if (mDeferred.isEmpty()) {
            mNextDeferred = step;
        }
        mDeferred.set(step);
    }

    /** Forgets the steps that are to be queued later. */
    void clearDeferred() {
        mDeferred.clear();
    }

    boolean hasDeferred() {
        return !mDeferred.isEmpty();
    }

    /**
     * Removes the deferred steps that may be queued now from these, and returns them. Begins with
     * the ones after those that were returned last.
     *
     * @param mayQueue returns whether a step may be queued, in addition to those before
     * @param isLast whether no further step may be queued if one may not
     */
    List<Integer> takeDeferred(IntPredicate mayQueue, boolean isLast) {
        List<Integer> steps = new ArrayList<>();
        int remaining = mDeferred.cardinality();
        int step = mDeferred.nextSetBit(mNextDeferred);
        for (; remaining > 0; remaining--) {
            step = step < 0 ? mDeferred.nextSetBit(0) : step;
            if (mayQueue.test(step)) {
                mDeferred.clear(step);
                mNextDeferred = step + 1;
                steps.add(step);
            } else if (isLast) {
                break;
            }
            step = mDeferred.nextSetBit(step + 1);
        }
        return steps;
    }
}
