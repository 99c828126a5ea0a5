package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Keeps one call open to each worker: it renews the lease and returns when a run has ended. All
 * methods run on the owner's thread.
 */
final class WorkerPolls {
    private static final EventLogger LOG = EventLogger.of(WorkerPolls.class);

    /** Time that a busy worker may hold the answer back; a report is due that often. */
    private static final long BUSY_WAIT_MILLIS = 1_000;

    /** Time that an idle worker may hold the answer back, the platform's most. */
    private static final long IDLE_WAIT_MILLIS = 1_000;

    private static final long RETRY_MILLIS = 250;

    /** Longest wait for a commit before the lease is renewed all the same. */
    private static final long COMMIT_WAIT_MILLIS = 700;

    private final PoolScheduler mScheduler;
    private final OwnerCommits mCommits;
    private final TaskRunner mRunner;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final SchedulerLimits mLimits;
    private final Listener mListener;
    private final Map<String, Poll> mPolls = new HashMap<>();
    private boolean mOpen;

    /** Hears of reports. */
    interface Listener {
        /** A report was taken in. */
        void reported();

        /** A worker knows an owner with a higher token. */
        void lost(String reason);
    }

    /** State of the calls to one worker. */
    private static final class Poll {
        boolean mOpen;
        boolean mWaitsForCommit;
        boolean mSilent;
        long mNotBeforeMillis;
    }

    WorkerPolls(
            PoolScheduler scheduler,
            OwnerCommits commits,
            TaskRunner runner,
            SerialExecutor thread,
            MonotonicClock clock,
            SchedulerLimits limits,
            Listener listener) {
        mScheduler = scheduler;
        mCommits = commits;
        mRunner = runner;
        mThread = thread;
        mClock = clock;
        mLimits = limits;
        mListener = listener;
    }

    /**
     * Begins to ask workers. Before all workflows are known, an end or run of an unknown one would
     * be dropped for good.
     */
    void open() {
        mOpen = true;
        pump();
    }

    void close() {
        mOpen = false;
    }

    /** Opens a call to each worker that has none. */
    void pump() {
        if (!mOpen) {
            return;
        }
        long nowMillis = mClock.millis();
        for (WorkerEntry worker : mScheduler.workersToPoll()) {
            Poll poll = mPolls.computeIfAbsent(worker.id(), id -> new Poll());
            if (!poll.mOpen && poll.mNotBeforeMillis <= nowMillis) {
                open(worker, poll);
            }
        }
    }

    /** Lets the workers go on whose ends have become durable. */
    void endsDurable() {
        for (Map.Entry<String, Poll> entry : mPolls.entrySet()) {
            Poll poll = entry.getValue();
            if (poll.mWaitsForCommit && isDurable(entry.getKey())) {
                poll.mWaitsForCommit = false;
                poll.mNotBeforeMillis = 0;
            }
        }
        pump();
    }

    private boolean isDurable(String workerId) {
        return mCommits.durableEnd(workerId) >= mScheduler.processedEnds(workerId).sequence();
    }

    private void open(WorkerEntry worker, Poll poll) {
        poll.mOpen = true;
        long sentMillis = mClock.millis();
        boolean confirmed = mCommits.confirmationAgeMillis() < mLimits.confirmMillis();
        // Each lease that is sent may be granted late, so that a silent worker's would never run
        // out.
        boolean mayRenew = confirmed && !poll.mSilent;
        long deadlineMillis = mayRenew ? mScheduler.grantLease(worker.id(), sentMillis) : 0;
        long waitMillis = mScheduler.isBusy(worker.id()) ? BUSY_WAIT_MILLIS : IDLE_WAIT_MILLIS;
        boolean first = mayRenew && deadlineMillis == 0;
        boolean pending = !isDurable(worker.id());
        TaskRunner.Renewal renewal =
                new TaskRunner.Renewal(
                        mCommits.epoch(),
                        mCommits.durableEnd(worker.id()),
                        deadlineMillis,
                        first || pending ? 0 : waitMillis);
        CompletableFuture<Void> unused =
                mRunner.renew(worker.id(), worker.address(), renewal)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> answered(worker, poll, result, sentMillis)));
    }

    private void answered(
            WorkerEntry worker, Poll poll, Either<CallError, RunReport> result, long sentMillis) {
        if (!mOpen) {
            return;
        }
        poll.mOpen = false;
        long nowMillis = mClock.millis();
        if (result.isLeft()) {
            failed(worker, poll, result.getLeft());
            return;
        }
        if (poll.mSilent) {
            poll.mSilent = false;
            LOG.log(LogEvent.WORKER_BACK, worker.id());
        }
        mScheduler.handleReport(worker.id(), result.get(), sentMillis, nowMillis);
        if (!isDurable(worker.id())) {
            poll.mWaitsForCommit = true;
            poll.mNotBeforeMillis = nowMillis + COMMIT_WAIT_MILLIS;
        }
        // The round of placement that follows opens the next call.
        mListener.reported();
    }

    private void failed(WorkerEntry worker, Poll poll, CallError error) {
        if (error.kind() == CallError.Kind.REFUSED) {
            mListener.lost("worker " + worker.id() + " refused: " + error.message());
            return;
        }
        if (error.kind() == CallError.Kind.GONE) {
            mScheduler.handleWorkerLeft(worker, error.message(), mClock.millis());
            mListener.reported();
        }
        if (!poll.mSilent) {
            poll.mSilent = true;
            LOG.log(LogEvent.WORKER_SILENT, worker.id(), error.message());
        }
        mScheduler.markUnresponsive(worker.id());
        poll.mNotBeforeMillis = mClock.millis() + RETRY_MILLIS;
    }
}
