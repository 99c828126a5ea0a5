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

    /** What runs at each executor in truth, whether or not the ledger was told of its end. */
    @Property(seed = "121", tries = 500)
    void neverMoreThanTheSlots(@ForAll long seed) {
        Random random = new Random(seed);
        SlotTracker ledger = new SlotTracker();
        ledger.updateHosts(List.of(host("e0", HostState.LIVE), host("e1", HostState.LIVE)));
        Map<String, Integer> running = new HashMap<>(Map.of("e0", random.nextInt(SLOTS + 1)));
        List<SlotHold> holds = new ArrayList<>();
        long nowMillis = 0;
        for (int i = 0; i < 400; i++) {
            nowMillis += random.nextInt(300);
            switch (random.nextInt(6)) {
                case 0, 1 -> take(ledger, random, holds, running);
                case 2 -> finish(ledger, random, holds, running);
                case 3 -> lose(ledger, random, holds, nowMillis);
                case 4 -> endUnseen(random, holds, running);
                default -> poll(ledger, running, nowMillis);
            }
        }
    }

    private static void take(
            SlotTracker ledger, Random random, List<SlotHold> holds, Map<String, Integer> running) {
        TrafficClass wanted = random.nextBoolean() ? TrafficClass.BULK : TrafficClass.NORMAL;
        Option<SlotHold> hold = ledger.acquire("s", wanted, BULK_PERCENT);
        hold.forEach(holds::add);
        hold.forEach(taken -> running.merge(taken.executor().name(), 1, Integer::sum));
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
            SlotTracker ledger, Random random, List<SlotHold> holds, Map<String, Integer> running) {
        if (!holds.isEmpty()) {
            SlotHold hold = holds.remove(random.nextInt(holds.size()));
            running.merge(hold.executor().name(), -1, Integer::sum);
            ledger.release(hold, true);
        }
    }

    private static void lose(
            SlotTracker ledger, Random random, List<SlotHold> holds, long nowMillis) {
        if (!holds.isEmpty()) {
            ledger.markOutcomeUnknown(holds.remove(random.nextInt(holds.size())), nowMillis);
        }
    }

    private static void endUnseen(
            Random random, List<SlotHold> holds, Map<String, Integer> running) {
        String name = "e" + random.nextInt(2);
        long held = holds.stream().filter(h -> isOf(h, name)).count();
        if (running.getOrDefault(name, 0) > held) {
            running.merge(name, -1, Integer::sum);
        }
    }

    private static void poll(SlotTracker ledger, Map<String, Integer> running, long nowMillis) {
        for (ExecutorInfo info : ledger.beginDueQueries(nowMillis)) {
            int inUse = running.getOrDefault(info.name(), 0);
            ledger.onQueryAnswered(info, inUse, nowMillis, nowMillis);
        }
    }

    @Test
    void uncertainSlotComesBackEvenWhenTheExecutorIsBusy() {
        SlotTracker ledger = ready();
        SlotHold lost = ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        SlotHold busy = ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        ledger.markOutcomeUnknown(lost, 0);
        ask(ledger, 1500, 1);
        assertEquals(2, ledger.load("s", 0).inUse());
        // It is drained, so that the count tells the uncertain one from those of our own.
        ask(ledger, 3000, 1);
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        ledger.release(busy, true);
        ask(ledger, 4000, 0);
        assertEquals(0, ledger.load("s", 0).inUse());
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isDefined());
    }

    @Test
    void unreachedExecutorGetsOneRequestAtATimeUntilOneSucceeds() {
        SlotTracker ledger = ready();
        ledger.releaseUnreachable(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get(), 0);
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        ask(ledger, 5000, 0);
        SlotHold trial = ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        ledger.release(trial, true);
        ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).get();
        assertFalse(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
    }

    @Test
    void leavingAndUnlistedExecutorsGetNothing() {
        SlotTracker ledger = ready();
        ledger.updateHosts(List.of(host("e0", HostState.LEAVING)));
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
        ledger.updateHosts(List.of());
        assertTrue(ledger.acquire("s", TrafficClass.NORMAL, BULK_PERCENT).isEmpty());
    }

    private static SlotTracker ready() {
        SlotTracker ledger = new SlotTracker();
        ledger.updateHosts(List.of(host("e0", HostState.LIVE)));
        ask(ledger, 0, 0);
        return ledger;
    }

    private static void ask(SlotTracker ledger, long nowMillis, int inUse) {
        ledger.beginDueQueries(nowMillis)
                .forEach(info -> ledger.onQueryAnswered(info, inUse, nowMillis, nowMillis));
    }

    private static HostInfo host(String executor, HostState state) {
        ExecutorInfo info = new ExecutorInfo(executor, "s", "127.0.0.1:1", SLOTS, 64);
        return new HostInfo(
                "w-" + executor, "r", "d", "k", "127.0.0.1:2", state, Room.NONE, List.of(info));
    }
}
