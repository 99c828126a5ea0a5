package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Waiting requests of one service: a preference between classes that is bounded, and deficit round
 * robin between the customers of a class. Not safe for use by several threads.
 *
 * @param <T> type of the waiting items
 * @since 0.1
 */
public final class FairQueue<T> {
    /** Times that a waiting class may be passed over before it goes first. */
    static final int MAX_SKIPPED_POLLS = 16;

    private final Map<TrafficClass, ClassQueue<T>> mClasses = new EnumMap<>(TrafficClass.class);

    /** Creates an empty queue. */
    public FairQueue() {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            mClasses.put(trafficClass, new ClassQueue<>());
        }
    }

    /**
     * Adds an item.
     *
     * @param weight share of the customer relative to others, at least 1
     * @param costMillis expected time in a slot
     */
    public void add(
            TrafficClass trafficClass, String customer, int weight, long costMillis, T item) {
        queueOf(trafficClass).add(customer, weight, costMillis, item);
    }

    /**
     * Takes the next item that can start.
     *
     * @param canStart whether an item can start now; it may take what the item needs
     * @return the item, or none when nothing that waits can start
     */
    public Option<T> poll(Predicate<T> canStart) {
        for (ClassQueue<T> queue : preferred()) {
            Option<T> item = queue.poll(canStart);
            if (item.isDefined()) {
                notePassedOver(queue);
                return item;
            }
        }
        return Option.none();
    }

    private List<ClassQueue<T>> preferred() {
        List<ClassQueue<T>> order = new ArrayList<>();
        List<ClassQueue<T>> rest = new ArrayList<>();
        for (ClassQueue<T> queue : mClasses.values()) {
            (queue.mPassedOver >= MAX_SKIPPED_POLLS ? order : rest).add(queue);
        }
        order.addAll(rest);
        return order;
    }

    private void notePassedOver(ClassQueue<T> served) {
        for (ClassQueue<T> queue : mClasses.values()) {
            queue.mPassedOver = queue == served || queue.size() == 0 ? 0 : queue.mPassedOver + 1;
        }
    }

    /** Removes one item; returns false if it does not wait. */
    public boolean remove(TrafficClass trafficClass, String customer, T item) {
        return queueOf(trafficClass).remove(customer, item);
    }

    /** Removes and returns all items. */
    public List<T> drain() {
        List<T> items = new ArrayList<>();
        mClasses.values().forEach(queue -> queue.drainTo(items));
        return items;
    }

    /** Returns the number of items of a class. */
    public int size(TrafficClass trafficClass) {
        return queueOf(trafficClass).size();
    }

    /** Returns the number of items of all classes. */
    public int size() {
        return mClasses.values().stream().mapToInt(ClassQueue::size).sum();
    }

    /** Returns the number of items of a customer in all classes. */
    public int sizeOf(String customer) {
        return mClasses.values().stream().mapToInt(queue -> queue.sizeOf(customer)).sum();
    }

    /**
     * Returns how many items of a class are likely to go before a new one of a customer, given that
     * customers take turns.
     */
    public int expectedAhead(TrafficClass trafficClass, String customer) {
        return queueOf(trafficClass).ahead(customer);
    }

    private ClassQueue<T> queueOf(TrafficClass trafficClass) {
        ClassQueue<T> queue = mClasses.get(trafficClass);
        if (queue == null) {
            throw new IllegalStateException("no queue for class " + trafficClass);
        }
        return queue;
    }
}
