package org.hyssoprouter.internal.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hyssoprouter.lib.TrafficClass;

class FairQueueTest {
    private static final TrafficClass[] CLASSES = TrafficClass.values();

    private record Item(TrafficClass trafficClass, String customer, int number) {}

    @Property(seed = "101", tries = 200)
    void customersShareInProportionToWeight(
            @ForAll @IntRange(min = 1, max = 5) int weight,
            @ForAll @IntRange(min = 1, max = 400) int costMillis,
            @ForAll @IntRange(min = 1, max = 400) int otherCostMillis) {
        FairQueue<String> queue = new FairQueue<>();
        for (int i = 0; i < 5000; i++) {
            queue.add(TrafficClass.NORMAL, "heavy", weight, costMillis, "heavy");
            queue.add(TrafficClass.NORMAL, "light", 1, otherCostMillis, "light");
        }
        long heavyMillis = 0;
        long lightMillis = 0;
        for (int i = 0; i < 3000; i++) {
            boolean heavy = queue.poll(item -> true).get().equals("heavy");
            heavyMillis += heavy ? costMillis : 0;
            lightMillis += heavy ? 0 : otherCostMillis;
            long differenceMillis = Math.abs(heavyMillis - weight * lightMillis);
            // The difference is bounded by one turn of each customer plus one item that did not fit
            // into a turn.
            assertTrue(differenceMillis <= 2L * weight * (100 + 400) + 400 * (weight + 1L));
        }
    }

    @Property(seed = "102", tries = 300)
    void eachItemIsPolledOnceAndInFifoOrderPerCustomer(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Item> queue = new FairQueue<>();
        List<Item> waiting = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            Item item = new Item(CLASSES[random.nextInt(3)], "c" + random.nextInt(4), i);
            int action = random.nextInt(4);
            if (action < 2) {
                queue.add(item.trafficClass(), item.customer(), 1, random.nextInt(2000), item);
                waiting.add(item);
            } else if (action == 2) {
                pollOne(queue, waiting, CLASSES[random.nextInt(3)]);
            } else if (!waiting.isEmpty()) {
                Item removed = waiting.remove(random.nextInt(waiting.size()));
                assertTrue(queue.remove(removed.trafficClass(), removed.customer(), removed));
            }
            assertEquals(waiting.size(), queue.size());
        }
    }

    private static void pollOne(
            FairQueue<Item> queue, List<Item> waiting, TrafficClass blockedClass) {
        Option<Item> polled = queue.poll(item -> item.trafficClass() != blockedClass);
        if (polled.isEmpty()) {
            assertTrue(waiting.stream().allMatch(i -> i.trafficClass() == blockedClass));
            return;
        }
        Map<String, Item> oldest = new HashMap<>();
        waiting.forEach(i -> oldest.putIfAbsent(i.trafficClass() + i.customer(), i));
        Item item = polled.get();
        assertEquals(oldest.get(item.trafficClass() + item.customer()), item);
        waiting.remove(item);
    }

    @Property(seed = "103", tries = 50)
    void noClassStarves(@ForAll @IntRange(min = 1, max = 50) int bulkItems) {
        FairQueue<TrafficClass> queue = new FairQueue<>();
        for (int i = 0; i < bulkItems; i++) {
            queue.add(TrafficClass.BULK, "c", 1, 1, TrafficClass.BULK);
        }
        int maxPolls = bulkItems * 2 * (FairQueue.MAX_SKIPPED_POLLS + 1);
        for (int polls = 0; polls < maxPolls && queue.size(TrafficClass.BULK) > 0; polls++) {
            queue.add(TrafficClass.URGENT, "c", 1, 1, TrafficClass.URGENT);
            queue.add(TrafficClass.NORMAL, "c", 1, 1, TrafficClass.NORMAL);
            var unused = queue.poll(item -> true).get();
        }
        assertEquals(0, queue.size(TrafficClass.BULK));
    }
}
