package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.io.IOException;
import java.util.List;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

/** Rows of an earlier release, which does not store the proved crashes of tasks. */
class WorkflowRowTest {
    private static final String WORKFLOW = "a";

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record FormerRow(
            String queue,
            WorkflowState state,
            List<Integer> endedOccurrences,
            List<FormerStepRow> steps,
            String reason) {}

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record FormerStepRow(
            int occurrence,
            int step,
            int gangFailures,
            String checkpoint,
            List<FormerTaskRow> tasks,
            int lastFailedRun) {}

    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record FormerTaskRow(
            int index,
            int run,
            int failures,
            boolean done,
            String worker,
            String checkpoint,
            int crashes) {}

    @Test
    void rowOfEarlierReleaseProvesNoCrash() throws IOException {
        WorkflowRow row = MessageCodec.decode(MessageCodec.encode(formerRow()), WorkflowRow.class);
        WorkflowRow.TaskRow expected =
                new WorkflowRow.TaskRow(0, 5, 1, false, "w0", "saved", 3, List.of(), 0, 0);
        assertEquals(expected, row.steps().get(0).tasks().get(0));
        assertEquals(7, row.steps().get(0).lastFailedRun());
        assertEquals("reason", row.reason());
    }

    // Guards against workflows that fail because an earlier release counted lapses as crashes.
    @Test
    void crashesCountedByEarlierReleaseDoNotFailTheWorkflow() throws IOException {
        WorkflowRow row = MessageCodec.decode(MessageCodec.encode(formerRow()), WorkflowRow.class);
        PoolScheduler scheduler = TestPools.newOwner(0, "w0", "w1");
        scheduler.retainListed(List.of("w0", "w1"), 0);
        WorkflowSpec spec =
                PoolSchedulerTest.workflow(
                        WORKFLOW, TestPools.QUEUE, PoolSchedulerTest.step(1, 1_000, 500, false));
        scheduler.restoreWorkflow(spec, row, 0, 0);
        scheduler.handleReport("w0", new RunReport(0, 2, List.of(), List.of()), 100, 100);
        WorkflowRow restored = scheduler.row(WORKFLOW).get();
        assertNotEquals(WorkflowState.FAILED, restored.state());
        assertEquals(4, restored.steps().get(0).tasks().get(0).crashes());
    }

    @Test
    void earlierReleaseIgnoresProvedCrashes() throws IOException {
        List<WorkflowRow.TaskRow> tasks =
                List.of(
                        new WorkflowRow.TaskRow(
                                0,
                                5,
                                1,
                                false,
                                "w0",
                                "saved",
                                3,
                                List.of("w1 in run 2", "w2"),
                                700,
                                9),
                        new WorkflowRow.TaskRow(1, 2, 0, true, "", "", 0, List.of(), 0, 0));
        WorkflowRow row =
                new WorkflowRow(
                        TestPools.QUEUE,
                        WorkflowState.ACTIVE,
                        List.of(),
                        List.of(new WorkflowRow.StepRow(0, 0, 0, "", tasks, 7)),
                        "reason");
        FormerRow former = MessageCodec.decode(MessageCodec.encode(row), FormerRow.class);
        assertEquals(
                List.of(
                        new FormerTaskRow(0, 5, 1, false, "w0", "saved", 3),
                        new FormerTaskRow(1, 2, 0, true, "", "", 0)),
                former.steps().get(0).tasks());
        assertEquals(7, former.steps().get(0).lastFailedRun());
        assertEquals("reason", former.reason());
    }

    private static FormerRow formerRow() {
        return new FormerRow(
                TestPools.QUEUE,
                WorkflowState.ACTIVE,
                List.of(),
                List.of(
                        new FormerStepRow(
                                0,
                                0,
                                0,
                                "",
                                List.of(new FormerTaskRow(0, 5, 1, false, "w0", "saved", 3)),
                                7)),
                "reason");
    }
}
