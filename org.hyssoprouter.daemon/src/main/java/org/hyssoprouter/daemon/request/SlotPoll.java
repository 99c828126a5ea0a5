package org.hyssoprouter.daemon.request;

import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.request.SlotTracker;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostView;
import org.hyssoprouter.util.MonotonicClock;

/** Keeps the ledger in line with the host list and with what executors say of themselves. */
final class SlotPoll {
    private final ShardContext mContext;
    private final SlotTracker mLedger;
    private final ExecutorClient mExecutors;
    private final HostView mHosts;
    private final MonotonicClock mClock;
    private long mRevision = Long.MIN_VALUE;

    SlotPoll(
            ShardContext context,
            SlotTracker ledger,
            ExecutorClient executors,
            HostView hosts,
            MonotonicClock clock) {
        mContext = context;
        mLedger = ledger;
        mExecutors = executors;
        mHosts = hosts;
        mClock = clock;
    }

    /**
     * Asks each executor that is due; called by one thread at a time.
     *
     * @param whenAnswered called after each answer
     */
    void run(Runnable whenAnswered) {
        long revision = mHosts.revision();
        if (revision != mRevision) {
            mRevision = revision;
            mLedger.updateHosts(mHosts.hostsOf(mContext.shard()));
        }
        if (!mContext.ownership().isConfirmed()) {
            return;
        }
        long nowMillis = mClock.millis();
        mLedger.beginDueQueries(nowMillis).forEach(info -> ask(info, nowMillis, whenAnswered));
    }

    private void ask(ExecutorInfo info, long askedMillis, Runnable whenAnswered) {
        var unused =
                mExecutors
                        .slotsInUse(info.address(), mContext.shard(), mContext.epoch())
                        .whenComplete(
                                (result, failure) -> {
                                    long nowMillis = mClock.millis();
                                    if (failure != null || result.isLeft()) {
                                        mLedger.onQueryFailed(info, nowMillis);
                                        return;
                                    }
                                    mLedger.onQueryAnswered(
                                            info, result.get(), askedMillis, nowMillis);
                                    whenAnswered.run();
                                });
    }
}
