package org.hyssoprouter.internal.workflow;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import org.hyssoprouter.lib.workflow.StepSpec;

/** Dependencies between the steps of a workflow, which all of its occurrences share. */
final class StepGraph {
    private final List<StepSpec> mSteps;

    /** Steps that depend on a step, one step after the other. */
    private final int[] mSuccessors;

    /** Position in {@link #mSuccessors} at which those of a step begin. */
    private final int[] mOffsets;

    StepGraph(List<StepSpec> steps) {
        mSteps = steps;
        mOffsets = new int[steps.size() + 1];
        for (StepSpec step : steps) {
            for (int predecessor : step.after()) {
                mOffsets[predecessor + 1]++;
            }
        }
        for (int i = 0; i < steps.size(); i++) {
            mOffsets[i + 1] += mOffsets[i];
        }
        mSuccessors = new int[mOffsets[steps.size()]];
        int[] ends = Arrays.copyOf(mOffsets, steps.size());
        for (int i = 0; i < steps.size(); i++) {
            for (int predecessor : steps.get(i).after()) {
                mSuccessors[ends[predecessor]++] = i;
            }
        }
    }

    int size() {
        return mSteps.size();
    }

    /** Returns the steps that depend on a step. */
    IntStream successorsOf(int step) {
        return Arrays.stream(mSuccessors, mOffsets[step], mOffsets[step + 1]);
    }

    /** Returns the steps whose turn has come: they are not done, but all that they depend on is. */
    int[] readySteps(BitSet done) {
        return IntStream.range(0, mSteps.size()).filter(step -> isReady(step, done)).toArray();
    }

    /** Returns whether a step is not done, but all steps that it depends on are. */
    boolean isReady(int step, BitSet done) {
        if (done.get(step)) {
            return false;
        }
        for (int predecessor : mSteps.get(step).after()) {
            if (!done.get(predecessor)) {
                return false;
            }
        }
        return true;
    }
}
