package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Queue of the items of one traffic class, with deficit round robin between customers. */
final class ClassQueue<T> {
    private static final long QUANTUM_MILLIS = 100;
    private static final long MAX_COST_MILLIS = 10 * QUANTUM_MILLIS;

    private final Map<String, CustomerQueue<T>> mQueues = new HashMap<>();
    private final ArrayDeque<CustomerQueue<T>> mTurnOrder = new ArrayDeque<>();
    private int mSize;

    /** Number of consecutive polls that served another class while this queue was not empty. */
    int mSkippedPolls;

    void add(String customer, int weight, long costMillis, T item) {
        CustomerQueue<T> queue =
                mQueues.computeIfAbsent(
                        customer,
                        name -> {
                            CustomerQueue<T> created = new CustomerQueue<>(name);
                            mTurnOrder.add(created);
                            return created;
                        });
        queue.mWeight = Math.max(1, weight);
        long cost = Math.max(1, Math.min(MAX_COST_MILLIS, costMillis));
        queue.mEntries.add(new Entry<>(item, cost));
        mSize++;
    }

    Option<T> poll(Predicate<T> canStart) {
        int blocked = 0;
        while (blocked < mTurnOrder.size()) {
            CustomerQueue<T> queue = mTurnOrder.element();
            Entry<T> entry = queue.mEntries.element();
            if (queue.mDeficitMillis < entry.costMillis()) {
                queue.mDeficitMillis += QUANTUM_MILLIS * queue.mWeight;
                rotate();
                blocked = 0;
                continue;
            }
            if (canStart.test(entry.item())) {
                dequeue(queue, entry);
                return Option.some(entry.item());
            }
            rotate();
            blocked++;
        }
        return Option.none();
    }

    private void rotate() {
        mTurnOrder.add(mTurnOrder.remove());
    }

    private void dequeue(CustomerQueue<T> queue, Entry<T> entry) {
        queue.mEntries.remove();
        queue.mDeficitMillis -= entry.costMillis();
        mSize--;
        removeIfEmpty(queue);
    }

    private void removeIfEmpty(CustomerQueue<T> queue) {
        if (queue.mEntries.isEmpty()) {
            // A customer without queued items loses its deficit, so that it accumulates no share.
            mQueues.remove(queue.mCustomer);
            mTurnOrder.remove(queue);
        }
    }

    boolean remove(String customer, T item) {
        CustomerQueue<T> queue = mQueues.get(customer);
        if (queue == null || !queue.mEntries.removeIf(entry -> entry.item() == item)) {
            return false;
        }
        mSize--;
        removeIfEmpty(queue);
        return true;
    }

    void drainTo(List<T> items) {
        mTurnOrder.forEach(queue -> queue.mEntries.forEach(entry -> items.add(entry.item())));
        mTurnOrder.clear();
        mQueues.clear();
        mSize = 0;
    }

    int size() {
        return mSize;
    }

    int sizeOf(String customer) {
        CustomerQueue<T> queue = mQueues.get(customer);
        return queue == null ? 0 : queue.mEntries.size();
    }

    int expectedAhead(String customer) {
        int itemsInTurns = (sizeOf(customer) + 1) * Math.max(1, mTurnOrder.size());
        return Math.min(mSize, itemsInTurns);
    }

    /** An item and the expected time for which it occupies a slot. */
    private record Entry<T>(T item, long costMillis) {}

    /** Items of one customer, in order of arrival, and its deficit. */
    private static final class CustomerQueue<T> {
        private final String mCustomer;
        private final ArrayDeque<Entry<T>> mEntries = new ArrayDeque<>();
        private int mWeight = 1;
        private long mDeficitMillis;

        CustomerQueue(String customer) {
            mCustomer = customer;
        }
    }
}
