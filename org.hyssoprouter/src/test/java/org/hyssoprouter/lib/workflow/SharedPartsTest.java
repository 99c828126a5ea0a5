package org.hyssoprouter.lib.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.lib.Room;
import org.junit.jupiter.api.Test;

class SharedPartsTest {
    // Guards against workflows of many steps that fill the owner's memory: of a body of 512 kB,
    // each
    // of some 40,000 steps had a room, limits and habits of its own.
    @Test
    void equalPartsOfStepsAreShared() {
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            List<Integer> after = i < 500 ? List.of() : new ArrayList<>(List.of(i - 500));
            steps.add(
                    new StepSpec(
                            1,
                            new Room(500, 1, 0),
                            100,
                            after,
                            false,
                            new StepSpec.Limits(false, "a", "", 0),
                            new StepSpec.Behavior(true, false, false, false, 0, "", 0)));
        }
        WorkflowSpec spec = new WorkflowSpec("a", "q", "", steps, WorkflowSpec.Schedule.ONCE);
        WorkflowSpec shared = spec.withSharedParts();
        assertEquals(spec, shared);
        assertSame(shared.steps().get(0), shared.steps().get(499));
        assertSame(shared.steps().get(0).room(), shared.steps().get(999).room());
        assertSame(shared.steps().get(0).limits(), shared.steps().get(999).limits());
        assertSame(shared.steps().get(0).habits(), shared.steps().get(999).habits());
    }
}
