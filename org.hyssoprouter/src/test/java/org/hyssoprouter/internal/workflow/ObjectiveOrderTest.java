package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.List;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.junit.jupiter.api.Test;

class ObjectiveOrderTest {
    private static final long TASK_MILLIS = 1_000;

    /** Objective of the workflows: 2 x 1,000 + 500 ms. */
    private static final QueuePolicy.Objective OBJECTIVE = new QueuePolicy.Objective(2, 500);

    private final PoolState mState = new PoolState(SimulatedPool.LIMITS, 0, ObjectiveOrder::new);

    private QueuePolicy queue(String name, int priority) {
        QueuePolicy queue =
                new QueuePolicy(
                        name, "host", "/" + name, "pool", priority, 3, OBJECTIVE, Option.none());
        mState.configure(new PoolConfig(1, List.of(queue), List.of("pool")));
        return queue;
    }

    private PlacementOrder.Rank rankAt(QueuePolicy queue, long acceptedMillis, long nowMillis) {
        Workflow workflow =
                new Workflow(
                        PoolSchedulerTest.workflow(
                                "w" + acceptedMillis,
                                queue.name(),
                                PoolSchedulerTest.step(1, 1_000, TASK_MILLIS, false)),
                        acceptedMillis);
        return mState.mOrder.rank(workflow.mOccurrences.open(0).hold(0), queue, nowMillis);
    }

    @Test
    void workInTimeComesBeforeLateWorkOfItsQueue() {
        QueuePolicy queue = queue("q", 1);
        PlacementOrder.Rank late = rankAt(queue, 0, 1_501);
        PlacementOrder.Rank inTime = rankAt(queue, 1_400, 1_501);
        assertTrue(late.isLate());
        assertTrue(inTime.compareTo(late) < 0);
        assertEquals(late.urgency(), inTime.urgency());
    }

    @Test
    void olderWorkComesFirstAmongEquals() {
        QueuePolicy queue = queue("q", 1);
        assertTrue(rankAt(queue, 100, 500).compareTo(rankAt(queue, 200, 500)) < 0);
    }

    @Test
    void lateUrgentWorkComesBeforeLessUrgentWorkInTime() {
        PlacementOrder.Rank late = rankAt(queue("urgent", 0), 0, 3_000);
        PlacementOrder.Rank inTime = rankAt(queue("batch", 2), 2_900, 3_000);
        assertTrue(late.compareTo(inTime) < 0);
    }

    @Test
    void workThatIsTooLateToBeOfUseComesLast() {
        PlacementOrder.Rank tooLate = rankAt(queue("urgent", 0), 0, 7_000);
        PlacementOrder.Rank inTime = rankAt(queue("batch", 2), 6_900, 7_000);
        assertTrue(tooLate.compareTo(inTime) > 0);
        assertTrue(tooLate.urgency() > inTime.urgency(), "nothing is stopped for it");
    }

    @Test
    void durationsOfEarlierRunsCorrectEstimates() {
        QueuePolicy queue = queue("q", 1);
        for (int i = 0; i < 40; i++) {
            mState.mDurations.recordRun("q", 5 * TASK_MILLIS);
        }
        // Expected are 3,000 ms, so that the objective is 6,500 ms.
        assertTrue(!rankAt(queue, 0, 3_400).isLate());
        assertTrue(rankAt(queue, 0, 3_600).isLate());
    }
}
