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
import org.hyssoprouter.internal.workflow.RunLossCause;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one call open to each worker, which renews the worker's lease and returns when a run has
 * ended. All methods run on the owner's thread.
 */
final class WorkerPoller {
    private static final EventLogger LOG = EventLogger.of(WorkerPoller.class);

    /**
     * Time for which a busy worker may hold back its answer, so that it reports at least this
     * often.
     */
    private static final long BUSY_POLL_WAIT_MILLIS = 1_000;

    /** Time for which a worker with a run on trial may hold back its answer. */
    private static final long TRIAL_POLL_WAIT_MILLIS = 250;

    /** Time for which an idle worker may hold back its answer; the maximum of the platform. */
    private static final long IDLE_POLL_WAIT_MILLIS = 1_000;

    private static final long RETRY_DELAY_MILLIS = 250;

    /** Longest wait for a commit before the lease is renewed anyway. */
    private static final long MAX_COMMIT_WAIT_MILLIS = 700;

    private final PoolScheduler mScheduler;
    private final OwnerCommitter mCommitter;
    private final TaskRunner mRunner;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final SchedulerLimits mLimits;
    private final Listener mListener;
    private final Map<String, PollState> mPolls = new HashMap<>();
    private boolean mStarted;

    /** Receives the events of the calls. */
    interface Listener {
        /** A report has been processed. */
        void onReportHandled();

        /** A worker has seen an owner with a higher fencing token. */
        void onOwnershipLost(String reason);
    }

    /** Call to a worker. */
    private static final class Call {
        final WorkerEntry mWorker;

        /** Incarnation that was known when the call was sent; 0 if none was. */
        final long mIncarnationMillis;

        final long mSentMillis;

        Call(WorkerEntry worker, long incarnationMillis, long sentMillis) {
            mWorker = worker;
            mIncarnationMillis = incarnationMillis;
            mSentMillis = sentMillis;
        }
    }

    /** State of the calls to one worker. */
    private static final class PollState {
        @Nullable Call mLastCall;
        boolean mCallOpen;
        boolean mAwaitingCommit;
        boolean mUnresponsive;
        long mNextCallMillis;
    }

    WorkerPoller(
            PoolScheduler scheduler,
            OwnerCommitter committer,
            TaskRunner runner,
            SerialExecutor thread,
            MonotonicClock clock,
            SchedulerLimits limits,
            Listener listener) {
        mScheduler = scheduler;
        mCommitter = committer;
        mRunner = runner;
        mThread = thread;
        mClock = clock;
        mLimits = limits;
        mListener = listener;
    }

    /**
     * Starts polling the workers. Called once all workflows are known, since an end or run of an
     * unknown one would be dropped for good.
     */
    void start() {
        mStarted = true;
        pollDueWorkers();
    }

    void stop() {
        mStarted = false;
    }

    /**
     * Opens a call to each due worker that has none open, and to each worker that has restarted
     * since.
     */
    void pollDueWorkers() {
        if (!mStarted) {
            return;
        }
        long nowMillis = mClock.millis();
        for (WorkerEntry worker : mScheduler.workersToPoll()) {
            PollState poll = mPolls.computeIfAbsent(worker.id(), id -> new PollState());
            boolean due = !poll.mCallOpen && poll.mNextCallMillis <= nowMillis;
            boolean restarted = hasRestartedSince(poll.mLastCall);
            if (restarted) {
                mRunner.closeIdleConnections(worker.address());
            }
            if (due || restarted) {
                renewLease(worker, poll);
            }
        }
    }

    private boolean hasRestartedSince(@Nullable Call call) {
        return call != null
                && call.mIncarnationMillis != 0
                && call.mIncarnationMillis != incarnationMillis(call.mWorker);
    }

    private long incarnationMillis(WorkerEntry worker) {
        return mScheduler.processedEnds(worker.id()).incarnationMillis();
    }

    /** Polls the workers whose run ends have become durable. */
    void onEndsDurable() {
        for (Map.Entry<String, PollState> entry : mPolls.entrySet()) {
            PollState poll = entry.getValue();
            if (poll.mAwaitingCommit && areEndsDurable(entry.getKey())) {
                poll.mAwaitingCommit = false;
                poll.mNextCallMillis = 0;
            }
        }
        pollDueWorkers();
    }

    private boolean areEndsDurable(String workerId) {
        return mCommitter.durableEndSequence(workerId)
                >= mScheduler.processedEnds(workerId).sequence();
    }

    private void renewLease(WorkerEntry worker, PollState poll) {
        long sentMillis = mClock.millis();
        Call call = new Call(worker, incarnationMillis(worker), sentMillis);
        poll.mLastCall = call;
        poll.mCallOpen = true;
        boolean committedRecently = mCommitter.lastCommitAgeMillis() < mLimits.confirmMillis();
        // A renewal may be granted late, so renewals sent to an unresponsive worker could keep its
        // lease from ever expiring.
        boolean mayRenew = committedRecently && !poll.mUnresponsive;
        long deadlineMillis = mayRenew ? mScheduler.grantLease(worker.id(), sentMillis) : 0;
        long waitMillis = waitMillis(worker);
        boolean firstRenewal = mayRenew && deadlineMillis == 0;
        // A worker that is excluded until its next report should send it at once.
        boolean reportAtOnce = firstRenewal || poll.mUnresponsive || !areEndsDurable(worker.id());
        TaskRunner.Renewal renewal =
                new TaskRunner.Renewal(
                        mCommitter.epoch(),
                        // A worker that did not answer may have restarted and count its ends anew.
                        poll.mUnresponsive ? 0 : mCommitter.durableEndSequence(worker.id()),
                        deadlineMillis,
                        reportAtOnce ? 0 : waitMillis);
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mRunner.renew(worker.id(), worker.address(), renewal),
                                "renewal",
                                WorkerPoller::brokenCall)
                        .thenAccept(
                                result -> mThread.execute(() -> handleResult(call, poll, result)));
    }

    private long waitMillis(WorkerEntry worker) {
        if (mScheduler.hasTrials(worker.id())) {
            return TRIAL_POLL_WAIT_MILLIS;
        }
        return mScheduler.isBusy(worker.id()) ? BUSY_POLL_WAIT_MILLIS : IDLE_POLL_WAIT_MILLIS;
    }

    private static Either<CallError, RunReport> brokenCall(String reason) {
        return Either.left(CallError.mayHaveRun(CallError.Kind.BROKEN, reason));
    }

    private void handleResult(Call call, PollState poll, Either<CallError, RunReport> result) {
        if (!mStarted) {
            return;
        }
        WorkerEntry worker = call.mWorker;
        if (result.isLeft() && result.getLeft().kind() == CallError.Kind.REFUSED) {
            mListener.onOwnershipLost(
                    "worker " + worker.id() + " rejected a renewal: " + result.getLeft().message());
            return;
        }
        if (!call.equals(poll.mLastCall)) {
            // A later call asks the present incarnation.
            return;
        }
        poll.mCallOpen = false;
        long nowMillis = mClock.millis();
        if (result.isLeft()) {
            handleFailure(worker, poll, result.getLeft());
            return;
        }
        if (poll.mUnresponsive) {
            poll.mUnresponsive = false;
            LOG.log(LogEvent.WORKER_RECOVERED, worker.id());
        }
        mScheduler.handleReport(worker.id(), result.get(), call.mSentMillis, nowMillis);
        if (!areEndsDurable(worker.id())) {
            poll.mAwaitingCommit = true;
            poll.mNextCallMillis = nowMillis + MAX_COMMIT_WAIT_MILLIS;
        }
        // The next placement round opens the next call.
        mListener.onReportHandled();
    }

    private void handleFailure(WorkerEntry worker, PollState poll, CallError error) {
        if (error.kind() == CallError.Kind.GONE) {
            mScheduler.handleWorkerLeft(worker, RunLossCause.ADDRESS_TAKEN, mClock.millis());
            mListener.onReportHandled();
        }
        if (!poll.mUnresponsive) {
            poll.mUnresponsive = true;
            LOG.log(LogEvent.WORKER_UNRESPONSIVE, worker.id(), error.message());
        }
        mScheduler.markUnresponsive(worker.id());
        poll.mNextCallMillis = mClock.millis() + RETRY_DELAY_MILLIS;
    }
}
