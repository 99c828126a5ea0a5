package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

class WorkflowPartsTest {
    private static final int SEEDS = 200;
    private static final int MAX_PART_BYTES = 65_536;

    private static WorkflowRow.TaskRow task(int index, int run) {
        return new WorkflowRow.TaskRow(index, run, 0, false, "w", "", 0, List.of(), 0, 0);
    }

    private static WorkflowRow.StepRow gang(int occurrence, int step, List<Integer> indexes) {
        return new WorkflowRow.StepRow(
                occurrence, step, 2, "saved", indexes.stream().map(it -> task(it, 3)).toList(), 2);
    }

    private static WorkflowRow row(List<Integer> ended, List<WorkflowRow.StepRow> steps) {
        return new WorkflowRow("q", WorkflowState.ACTIVE, ended, steps, "");
    }

    private static WorkflowRow randomRow(Random random, List<Integer> taskCounts) {
        List<Integer> ended = new ArrayList<>();
        List<WorkflowRow.StepRow> steps = new ArrayList<>();
        for (int occurrence = 0; occurrence < 40; occurrence++) {
            if (random.nextInt(3) == 0) {
                ended.add(occurrence);
                continue;
            }
            for (int step = 0; step < taskCounts.size(); step++) {
                List<Integer> indexes = new ArrayList<>();
                for (int index = 0; index < taskCounts.get(step); index++) {
                    if (random.nextInt(4) > 0) {
                        indexes.add(index);
                    }
                }
                if (!indexes.isEmpty()) {
                    steps.add(gang(occurrence, step, indexes));
                }
            }
        }
        return row(ended, steps);
    }

    private static WorkflowRow sorted(WorkflowRow row) {
        List<WorkflowRow.StepRow> steps = new ArrayList<>(row.steps());
        steps.sort((a, b) -> 1_000 * (a.occurrence() - b.occurrence()) + a.step() - b.step());
        return row(row.endedOccurrences(), steps);
    }

    // Guards against state that is lost between a workflow and its parts.
    @Test
    void joinedPartsAreTheWorkflow() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            List<Integer> counts = List.of(1 + random.nextInt(200), 1 + random.nextInt(7), 1);
            WorkflowRow row = randomRow(random, counts);
            List<WorkflowPartRow> parts =
                    new ArrayList<>(new WorkflowParts(counts).split(row).values());
            Collections.shuffle(parts, random);
            WorkflowRow joined = WorkflowParts.join(row.withoutSteps(), parts);
            assertEquals(sorted(row), sorted(joined), "seed " + seed);
        }
    }

    // Guards against parts that grow with the number of tasks or of occurrences.
    @Test
    void partsAreSmallHoweverLargeTheWorkflow() {
        List<WorkflowRow.TaskRow> tasks = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            tasks.add(
                    new WorkflowRow.TaskRow(
                            i,
                            1_000_000,
                            9,
                            false,
                            "i".repeat(200),
                            "c".repeat(100),
                            9,
                            List.of(),
                            Long.MAX_VALUE,
                            Long.MAX_VALUE));
        }
        List<Integer> ended = new ArrayList<>();
        for (int i = 1; i < 200_000; i += 2) {
            ended.add(i);
        }
        WorkflowRow row = row(ended, List.of(new WorkflowRow.StepRow(0, 0, 1, "saved", tasks, 1)));
        Map<String, WorkflowPartRow> parts = new WorkflowParts(List.of(20_000)).split(row);
        parts.forEach(
                (name, part) -> {
                    int bytes = MessageCodec.encode(part).length;
                    assertTrue(bytes < MAX_PART_BYTES, name + " has " + bytes + " bytes");
                });
    }

    // Guards against many writes for a change of one task.
    @Test
    void changeOfATaskChangesOnePart() {
        List<Integer> indexes = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            indexes.add(i);
        }
        WorkflowParts layout = new WorkflowParts(List.of(5_000));
        Map<String, WorkflowPartRow> before =
                layout.split(row(List.of(), List.of(gang(0, 0, indexes))));
        List<WorkflowRow.TaskRow> tasks = new ArrayList<>();
        indexes.forEach(it -> tasks.add(task(it, it == 4_000 ? 4 : 3)));
        Map<String, WorkflowPartRow> after =
                layout.split(
                        row(
                                List.of(),
                                List.of(new WorkflowRow.StepRow(0, 0, 2, "saved", tasks, 2))));
        List<String> changed = new ArrayList<>();
        after.forEach(
                (name, part) -> {
                    if (!part.equals(before.get(name))) {
                        changed.add(name);
                    }
                });
        assertEquals(List.of("t62"), changed);
        assertNotEquals(Map.of(), before);
    }

    // Guards against stale tasks of a row that is being divided.
    @Test
    void partIsNewerThanTheUndividedRow() {
        WorkflowParts layout = new WorkflowParts(List.of(100));
        WorkflowRow undivided = row(List.of(), List.of(gang(0, 0, List.of(1, 99))));
        WorkflowRow newer =
                row(
                        List.of(),
                        List.of(new WorkflowRow.StepRow(0, 0, 0, "", List.of(task(1, 7)), 0)));
        WorkflowRow joined = WorkflowParts.join(undivided, layout.split(newer).values());
        assertEquals(List.of(task(1, 7), task(99, 3)), joined.steps().get(0).tasks());
        WorkflowRow ended = row(List.of(0), List.of());
        assertEquals(
                List.of(), WorkflowParts.join(undivided, layout.split(ended).values()).steps());
    }
}
