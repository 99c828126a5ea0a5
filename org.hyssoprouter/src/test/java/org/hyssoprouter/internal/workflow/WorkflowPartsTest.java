package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

class WorkflowPartsTest {
    private static final int SEEDS = 200;
    private static final int MAX_PART_BYTES = 65_536;

    private static Workflow workflow(int repeatCount, int... taskCounts) {
        List<StepSpec> steps = new ArrayList<>();
        for (int count : taskCounts) {
            // The first step of several is a gang.
            boolean gang = steps.isEmpty() && taskCounts.length > 1;
            steps.add(PoolSchedulerTest.step(count, 100, 500, gang));
        }
        WorkflowSpec.Schedule schedule = new WorkflowSpec.Schedule(repeatCount, 0, 1_000);
        Workflow workflow = new Workflow(new WorkflowSpec("a", "q", "", steps, schedule), 0);
        workflow.mState = WorkflowState.ACTIVE;
        return workflow;
    }

    private static WorkflowParts partsOf(Workflow workflow) {
        return new WorkflowParts(workflow, () -> StoreOffset.NONE);
    }

    private static Map<String, WorkflowPartRow> allOf(WorkflowParts parts) {
        parts.refresh();
        List<String> names = new ArrayList<>(parts.guardNames());
        names.addAll(parts.sliceNames());
        Map<String, WorkflowPartRow> all = new HashMap<>();
        names.forEach(name -> all.put(name, parts.part(name)));
        return all;
    }

    private static void start(Task task, int run) {
        task.mRun = run;
        task.setPhase(Task.Phase.RUNNING, 0);
    }

    private static void finish(Task task) {
        start(task, 1);
        task.setPhase(Task.Phase.DONE, 0);
    }

    private static WorkflowRow sorted(WorkflowRow row) {
        List<WorkflowRow.StepRow> steps = new ArrayList<>(row.steps());
        steps.sort(
                Comparator.comparingInt(WorkflowRow.StepRow::occurrence)
                        .thenComparingInt(WorkflowRow.StepRow::step));
        List<WorkflowRow.DoneSteps> doneSteps = new ArrayList<>(row.doneSteps());
        doneSteps.sort(Comparator.comparingInt(it -> it.occurrences().first()));
        return new WorkflowRow(
                row.queue(),
                row.state(),
                row.endedOccurrences(),
                steps,
                row.reason(),
                row.begun(),
                row.ended(),
                WorkflowRow.DoneSteps.merge(doneSteps));
    }

    private static void randomize(Workflow workflow, Random random) {
        for (int occurrence = 0; occurrence < 12; occurrence++) {
            if (random.nextInt(3) == 0) {
                workflow.mOccurrences.ended().add(occurrence);
                continue;
            }
            Occurrence open = workflow.mOccurrences.open(occurrence);
            for (int number = 0; number < workflow.mSpec.steps().size(); number++) {
                Step step = open.hold(number);
                int done = random.nextInt(step.mSpec.taskCount() + 1);
                for (int index = 0; index < step.mSpec.taskCount(); index++) {
                    if (index < done || random.nextInt(3) == 0) {
                        finish(step.task(index));
                    } else if (random.nextInt(3) > 0) {
                        start(step.task(index), 1 + random.nextInt(5));
                    }
                }
                step.mGangFailures = step.mSpec.gang() ? random.nextInt(3) : 0;
                step.mLastFailedGangRun = step.mGangFailures;
                if (step.isDone()) {
                    open.markDone(number);
                }
            }
        }
    }

    // Guards against state that is lost between a workflow and its parts.
    @Test
    void joinedPartsAreTheWorkflow() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Workflow workflow = workflow(12, 1 + random.nextInt(70), 1 + random.nextInt(300), 1);
            randomize(workflow, random);
            List<WorkflowPartRow> parts = new ArrayList<>(allOf(partsOf(workflow)).values());
            Collections.shuffle(parts, random);
            WorkflowRow joined = WorkflowParts.join(WorkflowRow.mainOf(workflow), parts);
            WorkflowRow whole = WorkflowRow.of(workflow, StoreOffset.NONE);
            assertEquals(sorted(whole), sorted(joined), "seed " + seed);
        }
    }

    // Guards against counts of phases that drift from the tasks: a step would never be done.
    @Test
    void phasesAreCountedAsTheyAre() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            Workflow workflow = workflow(12, 1 + random.nextInt(70), 1 + random.nextInt(300), 1);
            randomize(workflow, random);
            WorkflowParts parts = partsOf(workflow);
            for (int round = 0; round < 2; round++) {
                for (Step step : workflow.heldSteps()) {
                    for (Task.Phase phase : Task.Phase.values()) {
                        assertEquals(countOf(step, phase), step.count(phase), "seed " + seed);
                    }
                    boolean done = countOf(step, Task.Phase.DONE) == step.mSpec.taskCount();
                    assertEquals(done, step.isDone());
                }
                parts.refresh();
            }
        }
    }

    private static int countOf(Step step, Task.Phase phase) {
        int count = phase == Task.Phase.DONE ? step.doneBelow() : 0;
        for (int index = step.doneBelow(); index < step.mSpec.taskCount(); index++) {
            Task task = step.heldTask(index);
            Task.Phase actual = task == null ? Task.Phase.WAITING : task.mPhase;
            count += actual == phase ? 1 : 0;
        }
        return count;
    }

    // Guards against a new owner that runs tasks again, as those that are done are a number only.
    @Test
    void restoredStepKnowsTheTasksThatAreDone() {
        Workflow workflow = workflow(0, 1_000);
        Step step = workflow.mOccurrences.open(0).hold(0);
        for (int index = 0; index < 500; index++) {
            finish(step.task(index));
        }
        start(step.task(700), 3);
        WorkflowRow row =
                WorkflowParts.join(WorkflowRow.mainOf(workflow), allOf(partsOf(workflow)).values());
        PoolScheduler owner = TestPools.newOwner(0, "w0");
        owner.restoreWorkflow(workflow.mSpec, row, 0, 0);
        WorkflowRow.StepRow restored = owner.row("a").get().steps().get(0);
        assertEquals(448, restored.doneBelow());
        assertEquals(52 + 1, restored.tasks().size());
        assertTrue(restored.tasks().stream().limit(52).allMatch(WorkflowRow.TaskRow::done));
        assertEquals(3, restored.tasks().get(52).run());
    }

    // Guards against rows and memory that grow with the width of a step.
    @Test
    void tasksThatAreDoneTakeNoRow() {
        Workflow workflow = workflow(0, Integer.MAX_VALUE);
        Step step = workflow.mOccurrences.open(0).hold(0);
        WorkflowParts parts = partsOf(workflow);
        for (int index = 0; index < 100_000; index++) {
            finish(step.task(index));
            if (index % 1_000 == 0) {
                Map<String, WorkflowPartRow> all = allOf(parts);
                assertTrue(all.size() <= 2 + 1_000 / WorkflowParts.TASKS_PER_SLICE);
                assertTrue(step.mTasks.size() <= 1_000, "holds " + step.mTasks.size());
            }
        }
        assertEquals(100_000, step.count(Task.Phase.DONE));
        assertEquals(Integer.MAX_VALUE - 100_000, step.count(Task.Phase.WAITING));
        assertNull(step.heldTask(5));
        assertEquals(100_000, step.placeableTasks(1).get(0).mKey.index());
    }

    // Guards against parts that are too large for a row.
    @Test
    void partsAreSmallHoweverLargeTheWorkflow() {
        Workflow workflow = workflow(200_000, 2_000);
        Step step = workflow.mOccurrences.open(0).hold(0);
        for (int index = 0; index < 2_000; index++) {
            Task task = step.task(index);
            start(task, 1_000_000);
            task.mWorker =
                    new PoolWorker(
                            TestPools.worker("i".repeat(200), 1),
                            new SchedulerLimits(6_000, 900, 2_500));
            task.mCheckpoint = "c".repeat(100);
        }
        for (int i = 1; i < 200_000; i += 2) {
            workflow.mOccurrences.ended().add(i);
        }
        allOf(partsOf(workflow))
                .forEach(
                        (name, part) -> {
                            int bytes = MessageCodec.encode(part).length;
                            assertTrue(bytes < MAX_PART_BYTES, name + " has " + bytes + " bytes");
                        });
    }

    // Guards against many writes for a change of one task.
    @Test
    void changeOfATaskChangesOnePart() {
        Workflow workflow = workflow(0, 5_000);
        Step step = workflow.mOccurrences.open(0).hold(0);
        for (int index = 0; index < 5_000; index++) {
            start(step.task(index), 3);
        }
        WorkflowParts parts = partsOf(workflow);
        Map<String, WorkflowPartRow> stored = allOf(parts);
        step.task(4_000).mRun = 4;
        parts.refresh();
        List<String> changed = new ArrayList<>();
        stored.forEach(
                (name, part) -> {
                    if (!parts.isStored(name, part)) {
                        changed.add(name);
                    }
                });
        assertEquals(List.of("0.0.62"), changed);
        assertEquals("0.0.62", WorkflowParts.nameOf(step.task(4_000).mKey));
    }

    // Guards against stale tasks of a row that is being divided.
    @Test
    void partIsNewerThanTheUndividedRow() {
        Workflow workflow = workflow(0, 200);
        Step step = workflow.mOccurrences.open(0).hold(0);
        start(step.task(0), 1);
        start(step.task(150), 1);
        WorkflowRow undivided = WorkflowRow.of(workflow, StoreOffset.NONE);
        step.task(0).mRun = 7;
        WorkflowParts parts = partsOf(workflow);
        parts.refresh();
        WorkflowRow joined = WorkflowParts.join(undivided, List.of(allOf(parts).get("0.0.0")));
        assertEquals(7, joined.steps().get(0).tasks().get(0).run());
        assertEquals(150, joined.steps().get(0).tasks().get(1).index());
        for (int index = 0; index < 128; index++) {
            finish(step.task(index));
        }
        WorkflowRow later = WorkflowParts.join(undivided, List.of(allOf(parts).get("0.0")));
        assertEquals(128, later.steps().get(0).doneBelow());
        assertEquals(1, later.steps().get(0).tasks().size());
    }
}
