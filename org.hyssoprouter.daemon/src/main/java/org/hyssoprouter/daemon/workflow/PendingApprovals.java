package org.hyssoprouter.daemon.workflow;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import org.hyssoprouter.lib.workflow.ApprovalRequest;

/**
 * Approval requests that wait for a daemon: the most urgent first, in order of arrival among
 * equals. Long and short calls wait apart, because different daemons serve them.
 */
final class PendingApprovals {
    private static final Comparator<Entry> ORDER =
            Comparator.comparingInt((Entry entry) -> entry.request().urgency())
                    .thenComparingLong(Entry::number);

    private final Queue<Entry> mLongCalls = new PriorityQueue<>(ORDER);
    private final Queue<Entry> mShortCalls = new PriorityQueue<>(ORDER);
    private long mLastNumber;

    /** A request and its number in order of arrival. */
    private record Entry(ApprovalRequest request, long number) {}

    void add(ApprovalRequest request) {
        (request.isLong() ? mLongCalls : mShortCalls).add(new Entry(request, ++mLastNumber));
    }

    int size() {
        return mLongCalls.size() + mShortCalls.size();
    }

    int longCallCount() {
        return mLongCalls.size();
    }

    int shortCallCount() {
        return mShortCalls.size();
    }

    /** Returns whether the first long call goes before the first short one. */
    boolean isLongCallNext() {
        Entry longCall = mLongCalls.peek();
        Entry shortCall = mShortCalls.peek();
        return longCall != null && (shortCall == null || ORDER.compare(longCall, shortCall) < 0);
    }

    /** Removes and returns the first long call; there must be one. */
    ApprovalRequest removeLongCall() {
        return mLongCalls.remove().request();
    }

    /** Removes and returns the first short call; there must be one. */
    ApprovalRequest removeShortCall() {
        return mShortCalls.remove().request();
    }
}
