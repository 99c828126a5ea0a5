package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

class RoomTrackerTest {
    private static final Room CAPACITY = new Room(10, 10, 2);

    @Property(seed = "21")
    void matchesModelAndNeverExceedsCapacity(@ForAll("steps") List<Step> steps) {
        RoomTracker tracker = new RoomTracker();
        tracker.setCapacity("w0", CAPACITY);
        tracker.setCapacity("w1", CAPACITY);
        Map<Step.Slot, Room> model = new HashMap<>();
        for (Step step : steps) {
            AttemptId attempt = new AttemptId(new TaskId("j", step.slot().task()), 1);
            String worker = "w" + step.slot().worker();
            if (!step.hold()) {
                boolean held = model.remove(step.slot()) != null;
                assertEquals(held, tracker.release(worker, attempt));
            } else if (!model.containsKey(step.slot())) {
                boolean fits = step.room().fitsIn(free(model, step.slot().worker()));
                assertEquals(fits, tracker.hold(worker, attempt, step.room()));
                if (fits) {
                    model.put(step.slot(), step.room());
                }
            }
            assertEquals(free(model, step.slot().worker()), tracker.free(worker));
            assertFalse(tracker.free(worker).isNegative());
        }
    }

    private static Room free(Map<Step.Slot, Room> model, int worker) {
        return model.entrySet().stream()
                .filter(entry -> entry.getKey().worker() == worker)
                .map(Map.Entry::getValue)
                .reduce(CAPACITY, Room::minus);
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> number = Arbitraries.integers().between(0, 5);
        Arbitrary<Room> rooms =
                Combinators.combine(number, number, Arbitraries.integers().between(0, 2))
                        .as((cpu, memory, accelerators) -> new Room(cpu, memory, accelerators));
        Arbitrary<Step.Slot> slots =
                Combinators.combine(Arbitraries.integers().between(0, 1), number)
                        .as(Step.Slot::new);
        return Combinators.combine(Arbitraries.of(true, false), slots, rooms)
                .as(Step::new)
                .list()
                .ofMaxSize(60);
    }

    private record Step(boolean hold, Slot slot, Room room) {
        private record Slot(int worker, int task) {}
    }
}
