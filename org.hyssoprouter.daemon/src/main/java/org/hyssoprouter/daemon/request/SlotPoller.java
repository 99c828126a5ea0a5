package org.hyssoprouter.daemon.request;

import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.util.MonotonicClock;

/** Updates the slot tracker from the host list, and from the slots that executors report in use. */
final class SlotPoller {
    private final ShardContext mContext;
    private final SlotTracker mSlotTracker;
    private final ExecutorClient mExecutors;
    private final HostDirectory mHosts;
    private final MonotonicClock mClock;
    private long mHostListRevision = Long.MIN_VALUE;

    SlotPoller(
            ShardContext context,
            SlotTracker slotTracker,
            ExecutorClient executors,
            HostDirectory hosts,
            MonotonicClock clock) {
        mContext = context;
        mSlotTracker = slotTracker;
        mExecutors = executors;
        mHosts = hosts;
        mClock = clock;
    }

    /**
     * Queries each executor whose query is due. Must be called by one thread at a time.
     *
     * @param onAnswer called after each answer of an executor
     */
    void poll(Runnable onAnswer) {
        long revision = mHosts.revision();
        if (revision != mHostListRevision) {
            mHostListRevision = revision;
            mSlotTracker.updateHosts(mHosts.hostsOf(mContext.shard()));
        }
        if (!mContext.ownership().isConfirmed()) {
            return;
        }
        long nowMillis = mClock.millis();
        mSlotTracker.beginDueQueries(nowMillis).forEach(info -> query(info, nowMillis, onAnswer));
    }

    private void query(ExecutorInfo info, long sentMillis, Runnable onAnswer) {
        var unused =
                mExecutors
                        .slotsInUse(info.address(), mContext.shard(), mContext.epoch())
                        .whenComplete(
                                (result, failure) -> {
                                    long nowMillis = mClock.millis();
                                    if (failure != null || result.isLeft()) {
                                        mSlotTracker.onQueryFailed(info, nowMillis);
                                        return;
                                    }
                                    mSlotTracker.onQueryAnswered(
                                            info, result.get(), sentMillis, nowMillis);
                                    onAnswer.run();
                                });
    }
}
