package org.hyssoprouter.internal.workflow;

import org.hyssoprouter.lib.workflow.RunReport;

/** Keeps one call open to each worker of a simulated pool, as {@code WorkerPoller} does. */
final class SimulatedPolls {
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    /** Interval at which a pending poll is checked for ended runs. */
    private static final long POLL_CHECK_MILLIS = 20;

    private final SimulatedPool mPool;

    SimulatedPolls(SimulatedPool pool) {
        mPool = pool;
    }

    /** Simulates a long poll: the worker answers when a run has ended or the poll times out. */
    void poll(PoolScheduler scheduler, SimulatedWorker worker, long sentMillis) {
        if (!scheduler.equals(mPool.scheduler())) {
            return;
        }
        if (worker.isDisconnected()) {
            scheduler.markUnresponsive(worker.mId);
            mPool.at(POLL_TIMEOUT_MILLIS, () -> poll(scheduler, worker, mPool.nowMillis()));
            return;
        }
        boolean pollStarts = sentMillis == mPool.nowMillis();
        if (pollStarts && !mPool.store().isAway()) {
            worker.renewLease(scheduler.grantLease(worker.mId, mPool.nowMillis()));
        }
        boolean knownClock =
                mPool.store().isAway() || scheduler.grantLease(worker.mId, mPool.nowMillis()) > 0;
        boolean timedOut = !knownClock || mPool.nowMillis() - sentMillis >= POLL_TIMEOUT_MILLIS;
        if (!timedOut && !worker.hasUnreportedEnds()) {
            mPool.at(POLL_CHECK_MILLIS, () -> poll(scheduler, worker, sentMillis));
            return;
        }
        RunReport report = worker.report();
        mPool.at(
                SimulatedPool.CALL_MILLIS,
                () -> {
                    if (scheduler.equals(mPool.scheduler())) {
                        scheduler.handleReport(worker.mId, report, sentMillis, mPool.nowMillis());
                        mPool.processOutput();
                        poll(scheduler, worker, mPool.nowMillis());
                    }
                });
    }
}
