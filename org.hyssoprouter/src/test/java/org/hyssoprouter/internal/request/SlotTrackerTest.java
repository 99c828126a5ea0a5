package org.hyssoprouter.internal.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.junit.jupiter.api.Test;

class SlotTrackerTest {
    private static final int SLOTS = 4;
    private static final int BULK_PERCENT = 50;

    /**
     * Compares the tracker with a model of the requests that run at each executor, including those
     * whose end the tracker has not observed.
     */
    @Property(seed = "121", tries = 500)
    void neverExceedsTheSlotsOfAnExecutor(@ForAll long seed) {
        Random random = new Random(seed);
        SlotTracker tracker = new SlotTracker();
        tracker.updateHosts(List.of(host("e0", HostState.LIVE), host("e1", HostState.LIVE)));
        Map<String, Integer> running = new HashMap<>(Map.of("e0", random.nextInt(SLOTS + 1)));
        List<SlotHold> holds = new ArrayList<>();
        long nowMillis = 0;
        for (int i = 0; i < 400; i++) {
            nowMillis += random.nextInt(300);
            switch (random.nextInt(6)) {
                case 0, 1 -> acquire(tracker, random, holds, running);
                case 2 -> finish(tracker, random, holds, running);
                case 3 -> loseOutcome(tracker, random, holds, nowMillis);
                case 4 -> finishUnobserved(random, holds, running);
                default -> answerQueries(tracker, running, nowMillis);
            }
        }
    }

    private static void acquire(
            SlotTracker tracker,
            Random random,
            List<SlotHold> holds,
            Map<String, Integer> running) {
        TrafficClass trafficClass = random.nextBoolean() ? TrafficClass.BULK : TrafficClass.NORMAL;
        Option<SlotHold> hold = tracker.acquire("s", trafficClass, BULK_PERCENT);
        hold.forEach(holds::add);
        hold.forEach(acquired -> running.merge(acquired.executor().name(), 1, Integer::sum));
        running.values().forEach(count -> assertTrue(count <= SLOTS));
        for (String name : running.keySet()) {
            long bulk = holds.stream().filter(h -> h.isBulk() && isOf(h, name)).count();
            assertTrue(bulk <= SLOTS * BULK_PERCENT / 100);
        }
    }

    private static boolean isOf(SlotHold hold, String name) {
        return hold.executor().name().equals(name);
    }

    private static void finish(
            SlotTracker tracker,
            Random random,
            List<SlotHold> holds,
            Map<String, Integer> running) {
        if (!holds.isEmpty()) {
            SlotHold hold = holds.remove(random.nextInt(holds.size()));
            running.merge(hold.executor().name(), -1, Integer::sum);
            tracker.release(hold, true);
        }
    }

    private static void loseOutcome(
            SlotTracker tracker, Random random, List<SlotHold> holds, long nowMillis) {
        if (!holds.isEmpty()) {
            tracker.markOutcomeUnknown(holds.remove(random.nextInt(holds.size())), nowMillis);
        }
    }

    private static void finishUnobserved(
            Random random, List<SlotHold> holds, Map<String, Integer> running) {
        String name = "e" + random.nextInt(2);
        long held = holds.stream().filter(h -> isOf(h, name)).count();
        if (running.getOrDefault(name, 0) > held) {
            running.merge(name, -1, Integer::sum);
        }
    }

    private static void answerQueries(
            SlotTracker tracker, Map<String, Integer> running, long nowMillis) {
        for (ExecutorInfo info : tracker.beginDueQueries(nowMillis)) {
            int inUse = running.getOrDefault(info.name(), 0);
            tracker.onQueryAnswered(info, inUse, nowMillis, nowMillis);
        }
    }

    @Test
    void drainsABusyExecutorToResolveItsUncertainSlot() {
        SlotTracker tracker = trackerWithIdleExecutor();
        SlotHold uncertain = tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        SlotHold held = tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        tracker.markOutcomeUnknown(uncertain, 0);
        answerDueQueries(tracker, 1500, 1);
        assertEquals(2, tracker.load("s", 0).inUse());
        // The executor is drained, because its report cannot show whether the slot in use is the
        // uncertain one or the one still held.
        answerDueQueries(tracker, 3000, 1);
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        tracker.release(held, true);
        answerDueQueries(tracker, 4000, 0);
        assertEquals(0, tracker.load("s", 0).inUse());
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isDefined());
    }

    @Test
    void limitsUnreachableExecutorToOneRequestUntilOneSucceeds() {
        SlotTracker tracker = trackerWithIdleExecutor();
        tracker.releaseUnreachable(
                tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get(), 0);
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        answerDueQueries(tracker, 5000, 0);
        SlotHold probe = tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        tracker.release(probe, true);
        tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        assertFalse(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
    }

    @Test
    void doesNotUseLeavingOrUnlistedExecutors() {
        SlotTracker tracker = trackerWithIdleExecutor();
        tracker.updateHosts(List.of(host("e0", HostState.LEAVING)));
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        tracker.updateHosts(List.of());
        assertTrue(tracker.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
    }

    private static SlotTracker trackerWithIdleExecutor() {
        SlotTracker tracker = new SlotTracker();
        tracker.updateHosts(List.of(host("e0", HostState.LIVE)));
        answerDueQueries(tracker, 0, 0);
        return tracker;
    }

    private static void answerDueQueries(SlotTracker tracker, long nowMillis, int inUse) {
        tracker.beginDueQueries(nowMillis)
                .forEach(info -> tracker.onQueryAnswered(info, inUse, nowMillis, nowMillis));
    }

    private static HostInfo host(String executor, HostState state) {
        ExecutorInfo info = new ExecutorInfo(executor, "s", "127.0.0.1:1", SLOTS, 64);
        return new HostInfo(
                "w-" + executor, "r", "d", "k", "127.0.0.1:2", state, Room.NONE, List.of(info));
    }
}
