package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

class CriticalPathTest {
    private static final int SEEDS = 200;
    private static final int WIDE_STEPS = 450;

    private int mReads;

    /** Dependencies of a step that count how often they are read. */
    private final class CountedDependencies extends AbstractList<Integer> {
        private final List<Integer> mSteps;

        CountedDependencies(List<Integer> steps) {
            mSteps = steps;
        }

        @Override
        public Integer get(int index) {
            mReads++;
            return mSteps.get(index);
        }

        @Override
        public int size() {
            mReads++;
            return mSteps.size();
        }
    }

    private StepSpec step(long millis, List<Integer> after) {
        return new StepSpec(
                1,
                new Room(4_000, 1, 0),
                millis,
                new CountedDependencies(after),
                false,
                StepSpec.Limits.NONE,
                StepSpec.Behavior.PLAIN);
    }

    private WorkflowSpec independentSteps(String id, int count) {
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(step(1_000, List.of()));
        }
        return new WorkflowSpec(id, TestPools.QUEUE, "", steps, WorkflowSpec.Schedule.ONCE);
    }

    private int readsOfARound(PoolScheduler scheduler, long nowMillis) {
        mReads = 0;
        scheduler.place(nowMillis);
        return mReads;
    }

    // Guards against rounds of seconds that cost the owner its pools: the time of a round grew with
    // the third power of the number of steps.
    @Test
    void roundReadsTheStepsOfAWorkflowOnce() {
        PoolScheduler scheduler = TestPools.newScheduler("w0");
        scheduler.addWorkflow(independentSteps("a", WIDE_STEPS), 0);
        int reads = readsOfARound(scheduler, 1);
        assertTrue(reads <= 4 * WIDE_STEPS, "read " + reads);
    }

    // Guards against the same cost from many workflows whose steps a single one has no more.
    @Test
    void roundReadsTheStepsOfManyWorkflowsOnce() {
        PoolScheduler scheduler = TestPools.newScheduler("w0");
        for (int i = 0; i < 30; i++) {
            scheduler.addWorkflow(independentSteps("a" + i, 100), 0);
        }
        int reads = readsOfARound(scheduler, 1);
        assertTrue(reads <= 4 * 30 * 100, "read " + reads);
    }

    // Guards against estimates that are made anew in each round, as each end of a run changes the
    // mean of its queue.
    @Test
    void pathsOfLargeWorkflowsAreKeptForSomeRounds() {
        PoolState state = new PoolState(SimulatedPool.LIMITS, 0, ObjectiveOrder::new);
        Workflow workflow = new Workflow(independentSteps("a", 10_000), 0);
        mReads = 0;
        int rounds = 1_000;
        for (int round = 0; round < rounds; round++) {
            state.mDurations.beginRound();
            state.mDurations.recordRun(TestPools.QUEUE, 1_000 + round);
            state.mDurations.criticalPathMillis(workflow);
        }
        assertTrue(mReads <= 4 * CriticalPath.SMALL_SIZE * rounds, "read " + mReads);
        // Tasks are expected to last for the mean of what was submitted and the recent runs.
        assertTrue(state.mDurations.criticalPathMillis(workflow) > 1_400);
    }

    @Test
    void smallWorkflowsFollowTheRunsOfTheirQueueAtOnce() {
        PoolState state = new PoolState(SimulatedPool.LIMITS, 0, ObjectiveOrder::new);
        Workflow workflow = new Workflow(independentSteps("a", 3), 0);
        assertEquals(1_000, state.mDurations.criticalPathMillis(workflow));
        for (int i = 0; i < 40; i++) {
            state.mDurations.recordRun(TestPools.QUEUE, 3_000);
        }
        assertEquals(2_000, state.mDurations.criticalPathMillis(workflow));
    }

    @Test
    void remainingTimeIsThatOfTheLongestChain() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<StepSpec> steps = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                List<Integer> after = new ArrayList<>();
                for (int j = 0; j < i; j++) {
                    if (random.nextInt(3) == 0) {
                        after.add(j);
                    }
                }
                steps.add(step(1 + random.nextInt(1_000), after));
            }
            CriticalPath path =
                    new CriticalPath(
                            steps, new CriticalPath.Inputs(CriticalPath.UNKNOWN_MILLIS, 30), 0);
            long longest = 0;
            for (int i = 0; i < steps.size(); i++) {
                long expected = longestChainFrom(steps, i);
                longest = Math.max(longest, expected);
                assertEquals(expected, path.remainingMillis(i), "seed " + seed);
            }
            assertEquals(longest, path.longestMillis(), "seed " + seed);
        }
    }

    private static long longestChainFrom(List<StepSpec> steps, int first) {
        long longest = 0;
        for (int i = first + 1; i < steps.size(); i++) {
            if (steps.get(i).after().contains(first)) {
                longest = Math.max(longest, longestChainFrom(steps, i));
            }
        }
        return longest + steps.get(first).estimateMillis() + 30;
    }
}
