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

    /**
     * Applies random submissions, ends, lease expiries, evacuations, cancellations and inventories.
     * After each step no task may have two running attempts and no worker may be overcommitted. At
     * the end the journal, the snapshot and a snapshot overlapping the journal must each restore
     * the same state.
     */
    @Property(tries = 200, seed = "31")
    void randomEventsKeepInvariantsAndReplayRestoresState(@ForAll long seed) {
        Random random = new Random(seed);
        SchedulerHarness harness = new SchedulerHarness(WORKERS);
        for (int i = 0; i < 120; i++) {
            applyRandomEvent(harness, random, i);
            harness.advance(random.nextInt(800));
            assertInvariants(harness);
        }
        assertSameViews(harness, SchedulerHarness.replay(harness.mJournal));
        assertSameViews(harness, SchedulerHarness.replay(harness.mScheduler.snapshotEvents()));
        List<ShardEvent> overlapping = new ArrayList<>(harness.mScheduler.snapshotEvents());
        int from = harness.mJournal.size() / 2;
        overlapping.addAll(harness.mJournal.subList(from, harness.mJournal.size()));
        assertSameViews(harness, SchedulerHarness.replay(overlapping));
    }

    private static void applyRandomEvent(SchedulerHarness harness, Random random, int number) {
        WorkKind kind = KINDS.get(random.nextInt(KINDS.size()));
        TrafficClass trafficClass = CLASSES.get(random.nextInt(CLASSES.size()));
        List<AttemptId> running = new ArrayList<>(harness.mRunning.keySet());
        String worker = "w" + random.nextInt(WORKERS);
        switch (random.nextInt(7)) {
            case 0, 1 ->
                    harness.submit(
                            "j" + number,
                            kind,
                            trafficClass,
                            1 + random.nextInt(4),
                            500 + random.nextInt(2_500));
            case 2 -> harness.cancel("j" + random.nextInt(number + 1));
            case 3 -> {
                harness.mRunning.values().removeIf(r -> r.worker().equals(worker));
                harness.mScheduler.onLeaseExpired(worker, harness.mNowMillis, harness.mNowMillis);
                harness.applyOutput();
            }
            case 4 -> harness.reportInventory(worker);
            case 5 -> {
                harness.mScheduler.evacuate(worker);
                harness.place();
                harness.finishStops();
            }
            default -> {
                if (!running.isEmpty()) {
                    AttemptId attempt = running.get(random.nextInt(running.size()));
                    harness.endAttempt(attempt, ENDS[random.nextInt(ENDS.length)]);
                }
            }
        }
        if (random.nextBoolean()) {
            harness.finishStops();
        }
    }

    private static void assertInvariants(SchedulerHarness harness) {
        Set<TaskId> tasks = new HashSet<>();
        for (AttemptId attempt : harness.mRunning.keySet()) {
            assertTrue(tasks.add(attempt.task()), "two attempts of " + attempt.task());
        }
        for (int i = 0; i < WORKERS; i++) {
            assertTrue(harness.usedOn("w" + i).fitsIn(SchedulerHarness.CAPACITY), "w" + i);
        }
    }

    private static void assertSameViews(SchedulerHarness harness, JobScheduler replayed) {
        for (JobView view : harness.mScheduler.list(10_000, 0)) {
            String id = view.spec().id();
            JobView before = harness.view(id);
            JobView after = replayed.view(id, harness.mNowMillis, "").get();
            assertEquals(before.state(), after.state(), id);
            for (int i = 0; i < before.tasks().size(); i++) {
                assertSameTask(before.tasks().get(i), after.tasks().get(i), id);
            }
        }
    }

    private static void assertSameTask(JobView.TaskView before, JobView.TaskView after, String id) {
        String task = id + "/" + before.index();
        assertEquals(journaledState(before.state()), journaledState(after.state()), task);
        assertEquals(before.attempt(), after.attempt(), task);
        if (journaledState(before.state()) == TaskState.RUNNING) {
            assertEquals(before.worker(), after.worker(), task);
        }
    }

    /**
     * Merges states that replay cannot tell apart: start confirmations and ends of back-offs are
     * not journaled.
     */
    private static TaskState journaledState(TaskState state) {
        return switch (state) {
            case WAITING, BACKING_OFF -> TaskState.WAITING;
            case STARTING, RUNNING, STOPPING -> TaskState.RUNNING;
            default -> state;
        };
    }
}
