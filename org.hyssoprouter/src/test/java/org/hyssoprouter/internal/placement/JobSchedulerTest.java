package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport.State;

class JobSchedulerTest {
    private static final int WORKERS = 4;
    private static final List<WorkKind> KINDS = List.of(WorkKind.values());
    private static final List<TrafficClass> CLASSES = List.of(TrafficClass.values());
    private static final State[] ENDS = {
        State.SUCCEEDED, State.FAILED, State.STOPPED, State.LEASE_LAPSED
    };

    /** Random jobs, ends, lapses, drains, cancels and repeated or late inventories. */
    @Property(tries = 200, seed = "31")
    void neverTwoLiveAttemptsNeverOverRoomAndReplayRestoresTheState(@ForAll long seed) {
        Random random = new Random(seed);
        SchedulerHarness driver = new SchedulerHarness(WORKERS);
        for (int i = 0; i < 120; i++) {
            step(driver, random, i);
            driver.advance(random.nextInt(800));
            assertPromises(driver);
        }
        assertSameViews(driver, SchedulerHarness.replay(driver.mJournal));
        assertSameViews(driver, SchedulerHarness.replay(driver.mBook.snapshotEvents()));
        List<ShardEvent> overlapping = new ArrayList<>(driver.mBook.snapshotEvents());
        int from = driver.mJournal.size() / 2;
        overlapping.addAll(driver.mJournal.subList(from, driver.mJournal.size()));
        assertSameViews(driver, SchedulerHarness.replay(overlapping));
    }

    private static void step(SchedulerHarness driver, Random random, int number) {
        WorkKind kind = KINDS.get(random.nextInt(KINDS.size()));
        TrafficClass trafficClass = CLASSES.get(random.nextInt(CLASSES.size()));
        List<AttemptId> running = new ArrayList<>(driver.mRunning.keySet());
        String worker = "w" + random.nextInt(WORKERS);
        switch (random.nextInt(7)) {
            case 0, 1 ->
                    driver.submit(
                            "j" + number,
                            kind,
                            trafficClass,
                            1 + random.nextInt(4),
                            500 + random.nextInt(2_500));
            case 2 -> driver.cancel("j" + random.nextInt(number + 1));
            case 3 -> {
                driver.mRunning.values().removeIf(r -> r.worker().equals(worker));
                driver.mBook.onLeaseExpired(worker, driver.mNowMillis, driver.mNowMillis);
                driver.carryOut();
            }
            case 4 -> driver.inventory(worker);
            case 5 -> {
                driver.mBook.evacuate(worker);
                driver.place();
                driver.finishStops();
            }
            default -> {
                if (!running.isEmpty()) {
                    AttemptId attempt = running.get(random.nextInt(running.size()));
                    driver.end(attempt, ENDS[random.nextInt(ENDS.length)]);
                }
            }
        }
        if (random.nextBoolean()) {
            driver.finishStops();
        }
    }

    private static void assertPromises(SchedulerHarness driver) {
        Set<TaskId> tasks = new HashSet<>();
        for (AttemptId attempt : driver.mRunning.keySet()) {
            assertTrue(tasks.add(attempt.task()), "two attempts of " + attempt.task());
        }
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(driver.usedOn("w" + i).fitsIn(SchedulerHarness.CAPACITY), "w" + i);
        }
    }

    private static void assertSameViews(SchedulerHarness driver, JobScheduler replayed) {
        for (JobView view : driver.mBook.list(10_000, 0)) {
            String id = view.spec().id();
            JobView before = driver.view(id);
            JobView after = replayed.view(id, driver.mNowMillis, "").get();
            assertEquals(before.state(), after.state(), id);
            for (int i = 0; i < before.tasks().size(); i++) {
                assertSameTask(before.tasks().get(i), after.tasks().get(i), id);
            }
        }
    }

    private static void assertSameTask(JobView.TaskView before, JobView.TaskView after, String id) {
        String task = id + "/" + before.index();
        assertEquals(coarse(before.state()), coarse(after.state()), task);
        assertEquals(before.attempt(), after.attempt(), task);
        if (coarse(before.state()) == TaskState.RUNNING) {
            assertEquals(before.worker(), after.worker(), task);
        }
    }

    /** Confirmations and the ends of back-offs are not journaled. */
    private static TaskState coarse(TaskState state) {
        return switch (state) {
            case WAITING, BACKING_OFF -> TaskState.WAITING;
            case STARTING, RUNNING, STOPPING -> TaskState.RUNNING;
            default -> state;
        };
    }
}
