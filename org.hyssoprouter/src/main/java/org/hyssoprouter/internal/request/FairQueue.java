package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Queue of the requests of one service. More urgent classes are served first, up to a limit that
 * prevents starvation of the other classes. Within a class, customers are served by deficit round
 * robin. Not safe for use by several threads.
 *
 * @param <T> type of the queued items
 * @since 0.1
 */
public final class FairQueue<T> {
    /** Consecutive polls in which a non-empty class may be skipped before it is served first. */
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
     * @param weight share of the customer relative to other customers, at least 1
     * @param costMillis expected time for which the item occupies a slot
     */
    public void add(
            TrafficClass trafficClass, String customer, int weight, long costMillis, T item) {
        queueOf(trafficClass).add(customer, weight, costMillis, item);
    }

    /**
     * Removes and returns the next item that can start.
     *
     * @param canStart tests whether an item can start now; if so, it may reserve the resources that
     *     the item needs
     * @return the item, or none if no queued item can start
     */
    public Option<T> poll(Predicate<T> canStart) {
        for (ClassQueue<T> queue : classesInPollOrder()) {
            Option<T> item = queue.poll(canStart);
            if (item.isDefined()) {
                updateSkippedPolls(queue);
                return item;
            }
        }
        return Option.none();
    }

    private List<ClassQueue<T>> classesInPollOrder() {
        List<ClassQueue<T>> order = new ArrayList<>();
        List<ClassQueue<T>> rest = new ArrayList<>();
        for (ClassQueue<T> queue : mClasses.values()) {
            (queue.mSkippedPolls >= MAX_SKIPPED_POLLS ? order : rest).add(queue);
        }
        order.addAll(rest);
        return order;
    }

    private void updateSkippedPolls(ClassQueue<T> served) {
        for (ClassQueue<T> queue : mClasses.values()) {
            queue.mSkippedPolls =
                    queue == served || queue.size() == 0 ? 0 : queue.mSkippedPolls + 1;
        }
    }

    /** Removes an item; returns false if it is not queued. */
    public boolean remove(TrafficClass trafficClass, String customer, T item) {
        return queueOf(trafficClass).remove(customer, item);
    }

    /** Removes and returns all items. */
    public List<T> drain() {
        List<T> items = new ArrayList<>();
        mClasses.values().forEach(queue -> queue.drainTo(items));
        return items;
    }

    /** Returns the number of queued items of a class. */
    public int size(TrafficClass trafficClass) {
        return queueOf(trafficClass).size();
    }

    /** Returns the number of queued items of all classes. */
    public int size() {
        return mClasses.values().stream().mapToInt(ClassQueue::size).sum();
    }

    /** Returns the number of queued items of a customer in all classes. */
    public int sizeOf(String customer) {
        return mClasses.values().stream().mapToInt(queue -> queue.sizeOf(customer)).sum();
    }

    /**
     * Returns how many items of a class are expected to be served before a new item of a customer,
     * given that the customers take turns.
     */
    public int expectedAhead(TrafficClass trafficClass, String customer) {
        return queueOf(trafficClass).expectedAhead(customer);
    }

    private ClassQueue<T> queueOf(TrafficClass trafficClass) {
        ClassQueue<T> queue = mClasses.get(trafficClass);
        if (queue == null) {
            throw new IllegalStateException("no queue for traffic class " + trafficClass);
        }
        return queue;
    }
}
