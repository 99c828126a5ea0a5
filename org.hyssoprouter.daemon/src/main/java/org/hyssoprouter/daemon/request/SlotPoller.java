package org.hyssoprouter.daemon.request;

import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.util.MonotonicClock;

/** Keeps the ledger in line with the host list and with what executors say of themselves. */
final class SlotPoller {
    private final ShardContext mContext;
    private final SlotTracker mSlotTracker;
    private final ExecutorClient mExecutors;
    private final HostDirectory mHosts;
    private final MonotonicClock mClock;
    private long mHostListRevision = Long.MIN_VALUE;

    SlotPoller(
            ShardContext context,
            SlotTracker ledger,
            ExecutorClient executors,
            HostDirectory hosts,
            MonotonicClock clock) {
        mContext = context;
        mSlotTracker = ledger;
        mExecutors = executors;
        mHosts = hosts;
        mClock = clock;
    }

    /**
     * Asks each executor that is due; called by one thread at a time.
     *
     * @param whenAnswered called after each answer
     */
    void poll(Runnable whenAnswered) {
        long revision = mHosts.revision();
        if (revision != mHostListRevision) {
            mHostListRevision = revision;
            mSlotTracker.updateHosts(mHosts.hostsOf(mContext.shard()));
        }
        if (!mContext.ownership().isConfirmed()) {
            return;
        }
        long nowMillis = mClock.millis();
        mSlotTracker
                .beginDueQueries(nowMillis)
                .forEach(info -> query(info, nowMillis, whenAnswered));
    }

    private void query(ExecutorInfo info, long askedMillis, Runnable whenAnswered) {
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
                                            info, result.get(), askedMillis, nowMillis);
                                    whenAnswered.run();
                                });
    }
}
