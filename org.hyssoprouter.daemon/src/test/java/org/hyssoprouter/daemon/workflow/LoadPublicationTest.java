package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

/** What a new owner publishes of the load before and after it has read the accepted workflows. */
class LoadPublicationTest {
    private final SteppedExecutor mThread = new SteppedExecutor();
    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final PoolScheduler mScheduler = mFixture.scheduler();
    private final PendingChanges mChanges =
            new PendingChanges(mScheduler, mThread, LimitedTable.MAX_ROW_BYTES);

    private PendingChanges.Group commit() {
        mThread.advance(LoadRows.INTERVAL_MILLIS);
        PendingChanges.Group group = mChanges.next();
        mChanges.recordDurable(group);
        return group;
    }

    private static boolean hasLoad(PendingChanges.Group group) {
        return group.batch().writes().stream().anyMatch(it -> Schema.isLoadKey(it.name()));
    }

    // Guards against a new owner that replaces the counts by 0, or by those of the jobs that it
    // has read so far.
    @Test
    void ownerThatHasNotReadTheJobsPublishesNoCount() throws IOException {
        assertFalse(hasLoad(commit()), "first commit of an owner");
        add("00000000000000a1");
        assertFalse(hasLoad(commit()), "some jobs are read");
        add("00000000000000a2");
        mChanges.recordWorkflowsRead(70_000);
        mChanges.openLoad();
        PendingChanges.Group opened = commit();
        assertTrue(hasLoad(opened), "all jobs are read");
        assertEquals(70_000, opened.load().countedMillis());
        byte[] row = Objects.requireNonNull(opened.load().rows().get(Schema.LOAD_KEY));
        assertEquals(Map.of("batch", 2), decode(row).pending());
    }

    // Guards against counts that seem recent though the owner does not read the jobs any more.
    @Test
    void countIsAsOldAsTheLastReadOfTheJobs() {
        mChanges.recordWorkflowsRead(70_000);
        mChanges.openLoad();
        commit();
        assertEquals(70_000, commit().load().countedMillis());
        mChanges.recordWorkflowsRead(71_000);
        assertEquals(71_000, commit().load().countedMillis());
    }

    // Guards against counts that rise at each takeover by all workflows whose first run is active.
    @Test
    void countsWaitForTheWorkersThatHaveRunsOfAFormerOwner() {
        WorkflowRow.TaskRow task =
                new WorkflowRow.TaskRow(0, 1, 0, false, "w", "", 0, List.of(), 0, 0);
        WorkflowRow.StepRow step = new WorkflowRow.StepRow(0, 0, 0, "", List.of(task), 0);
        WorkflowRow row =
                new WorkflowRow("batch", WorkflowState.ACTIVE, List.of(), List.of(step), "");
        mScheduler.restoreWorkflow(SchedulerFixture.workflow("a", 1, false), row, 0, 0);
        mChanges.recordWorkflowsRead(70_000);
        mChanges.openLoad();
        for (int i = 0; i < 3; i++) {
            assertFalse(hasLoad(commit()));
        }
        assertTrue(hasLoad(commit()), "a silent worker does not hold the counts back for long");
    }

    // Guards against counts that stay unknown on a quiet day, as only further workflows end the
    // search for rows that the store refuses.
    @Test
    void countGoesOnWhileNoWorkflowIsLeftToSearchForRefusedRows() {
        assertEquals(1, mFixture.placeTask().run());
        mChanges.recordWorkflowsRead(70_000);
        mChanges.openLoad();
        mChanges.collect();
        long countedMillis = 0;
        for (long readMillis = 70_000; readMillis <= 80_000; readMillis += 500) {
            mThread.advance(LoadRows.INTERVAL_MILLIS);
            mChanges.recordWorkflowsRead(readMillis);
            PendingChanges.Group group = mChanges.next();
            if (group.included().workflows().isEmpty()) {
                mChanges.recordDurable(group);
                countedMillis = Math.max(countedMillis, group.load().countedMillis());
            } else {
                mChanges.restoreRefused(group, true);
            }
        }
        assertTrue(countedMillis >= 79_000, "counted up to " + countedMillis);
    }

    private void add(String id) {
        mFixture.submit(id);
    }

    private static LoadRow decode(byte[] row) throws IOException {
        return MessageCodec.decode(row, LoadRow.class);
    }
}
