package org.hyssoprouter.lib.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;

/** Shares equal parts of the steps of a workflow, so that one with many steps takes less memory. */
final class SharedParts {
    private final Map<StepSpec, StepSpec> mSteps = new HashMap<>();
    private final Map<Room, Room> mRooms = new HashMap<>();
    private final Map<StepSpec.Limits, StepSpec.Limits> mLimits = new HashMap<>();
    private final Map<StepSpec.Behavior, StepSpec.Behavior> mHabits = new HashMap<>();
    private final Map<Integer, Integer> mNumbers = new HashMap<>();

    private SharedParts() {}

    static List<StepSpec> share(List<StepSpec> steps) {
        SharedParts parts = new SharedParts();
        return steps.stream().map(parts::share).toList();
    }

    private StepSpec share(StepSpec step) {
        List<Integer> after = new ArrayList<>(step.after().size());
        step.after().forEach(it -> after.add(share(mNumbers, it)));
        StepSpec shared =
                new StepSpec(
                        step.taskCount(),
                        share(mRooms, step.room()),
                        step.estimateMillis(),
                        List.copyOf(after),
                        step.gang(),
                        share(mLimits, step.limits()),
                        share(mHabits, step.habits()));
        return share(mSteps, shared);
    }

    private static <T> T share(Map<T, T> known, T value) {
        T former = known.putIfAbsent(value, value);
        return former == null ? value : former;
    }
}
