package org.hyssoprouter.daemon.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hyssoprouter.daemon.placement.WorkerTracker.Renewal;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.JobSchedulerOutput;
import org.hyssoprouter.internal.placement.PlacementAction;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerClient;
import org.hyssoprouter.transport.WorkerStatus;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Journals the scheduler's events and sends renewals, starts and stops to the workers. The
 * ownership of the shard is checked immediately before each call.
 */
final class WorkerDispatcher implements SchedulerLock.OutputHandler {
    private final ShardContext mContext;
    private final WorkerClient mClient;
    private final JobScheduler mScheduler;
    private final WorkerTracker mWorkers;
    private final SchedulerLock mLock;
    private final Runnable mOnRoomChanged;
    private final AtomicInteger mStartsInFlight = new AtomicInteger();
    // Written by the call queue, which runs one call at a time.
    private volatile CompletableFuture<Either<TableError, Boolean>> mLastAppend =
            CompletableFuture.completedFuture(Either.right(true));
    private volatile boolean mStartsDisabled;

    WorkerDispatcher(
            ShardContext context,
            WorkerClient client,
            JobScheduler scheduler,
            WorkerTracker workers,
            Clock clock,
            MonotonicClock monotonic,
            Runnable onRoomChanged) {
        mContext = context;
        mClient = client;
        mScheduler = scheduler;
        mWorkers = workers;
        mLock = new SchedulerLock(scheduler, clock, monotonic, this);
        mOnRoomChanged = onRoomChanged;
    }

    SchedulerLock lock() {
        return mLock;
    }

    /** Sends no more starts from now on. */
    void disableStarts() {
        mStartsDisabled = true;
    }

    /** Returns whether no start is in flight and all decisions are durable. */
    boolean isIdle() {
        return mStartsInFlight.get() == 0 && mLock.isCallQueueEmpty() && mLastAppend.isDone();
    }

    /** Appends events to the journal; the call queue determines the order. */
    CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        CompletableFuture<Either<TableError, Boolean>> appended =
                mContext.log().append(events, withinMillis);
        mLastAppend = appended;
        return appended;
    }

    @Override
    public void handleOutput(JobSchedulerOutput output) {
        if (!output.events().isEmpty()) {
            var unused = append(output.events(), 0);
        }
        for (PlacementAction action : output.actions()) {
            if (action instanceof PlacementAction.Start start) {
                sendStart(start);
            } else if (action instanceof PlacementAction.Stop stop) {
                sendStop(stop);
            }
        }
    }

    /** Sends a lease renewal; the worker answers it with its inventory. */
    void sendRenewal(Renewal renewal) {
        if (!mContext.ownership().isConfirmed()) {
            mLock.runLocked(
                    () -> ifTracked(renewal.worker(), tracked -> tracked.lease().onNotDelivered()));
            return;
        }
        LeaseRenewal message =
                new LeaseRenewal(
                        mContext.shard(),
                        mContext.epoch(),
                        renewal.leaseMillis(),
                        renewal.notAfterMillis(),
                        renewal.acknowledged());
        var unused =
                callSafely(() -> mClient.renew(renewal.address(), message))
                        .whenComplete(
                                (result, error) ->
                                        handleRenewalResult(renewal, toCallResult(result, error)));
    }

    private void handleRenewalResult(Renewal renewal, Either<CallError, WorkerStatus> result) {
        mLock.runLocked(
                () ->
                        ifTracked(
                                renewal.worker(),
                                tracked -> handleRenewalResult(tracked, renewal, result)));
        mOnRoomChanged.run();
    }

    private void handleRenewalResult(
            TrackedWorker tracked, Renewal renewal, Either<CallError, WorkerStatus> result) {
        if (result.isLeft()) {
            handleRenewalFailure(tracked, result.getLeft());
        } else {
            handleInventory(tracked, renewal, result.get());
        }
    }

    private void handleRenewalFailure(TrackedWorker tracked, CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            tracked.lease().onNotDelivered();
        } else {
            tracked.lease().onUnknownOutcome(mLock.nowMillis());
        }
    }

    private void handleInventory(TrackedWorker tracked, Renewal renewal, WorkerStatus status) {
        long now = mLock.nowMillis();
        String worker = renewal.worker();
        tracked.onAnswer(status.workerMillis(), renewal.sentMillis(), renewal.acknowledged(), now);
        mScheduler.reconcile(
                new WorkerStatus(worker, status.workerMillis(), status.tasks()),
                now,
                mLock.wallMillis());
        List<AttemptId> ended =
                status.tasks().stream()
                        .filter(TaskReport::hasEnded)
                        .map(report -> new AttemptId(report.task(), report.attempt()))
                        .toList();
        mWorkers.updateUsable(tracked, now);
        mWorkers.updateInventoryState(now);
        if (!ended.isEmpty()) {
            acknowledgeOnceDurable(worker, ended);
        }
    }

    /**
     * Acknowledges ended attempts to a worker, which may then drop them, once their ends are
     * durable. The queued call appends the ends and waits for the last append; appends become
     * durable in order.
     */
    private void acknowledgeOnceDurable(String worker, List<AttemptId> ended) {
        JobSchedulerOutput ends = mScheduler.takeOutput();
        mLock.enqueueCall(
                () -> {
                    handleOutput(ends);
                    var unused =
                            mLastAppend.thenAccept(
                                    done -> {
                                        if (done.isRight()) {
                                            mLock.runLocked(
                                                    () ->
                                                            ifTracked(
                                                                    worker,
                                                                    tracked ->
                                                                            tracked.acknowledge(
                                                                                    ended)));
                                        }
                                    });
                });
    }

    private void sendStart(PlacementAction.Start start) {
        AttemptId attempt = start.attempt();
        Option<StartOrder> order = mLock.callLocked(() -> createStartOrder(start));
        if (order.isEmpty()) {
            return;
        }
        if (mStartsDisabled || !mContext.ownership().isConfirmed()) {
            endAttempt(
                    attempt,
                    TaskReport.State.STOPPED,
                    "not started: the owner is stopping or its ownership is not confirmed");
            return;
        }
        mStartsInFlight.incrementAndGet();
        var unused =
                callSafely(() -> mClient.start(addressOf(start.worker()), order.get()))
                        .whenComplete(
                                (result, error) ->
                                        handleStartResult(start, toCallResult(result, error)));
    }

    private Option<StartOrder> createStartOrder(PlacementAction.Start start) {
        TrackedWorker tracked = mWorkers.get(start.worker());
        long now = mLock.nowMillis();
        long notAfter = tracked == null ? 0 : tracked.startNotAfterMillis(now);
        if (tracked != null) {
            tracked.scheduleBusyRenewal(now);
        }
        if (!mScheduler.prepareStart(start.attempt(), notAfter, now, mLock.wallMillis())) {
            return Option.none();
        }
        return Option.some(
                new StartOrder(
                        mContext.shard(),
                        mContext.epoch(),
                        start.attempt().task(),
                        start.attempt().attempt(),
                        notAfter,
                        start.room(),
                        start.runTimeMillis(),
                        start.command()));
    }

    private void handleStartResult(
            PlacementAction.Start start, Either<CallError, TaskReport> result) {
        mStartsInFlight.decrementAndGet();
        mLock.runLocked(
                () ->
                        result.fold(
                                error -> handleStartFailure(start, error),
                                report -> applyReport(start.attempt(), report)));
    }

    private boolean handleStartFailure(PlacementAction.Start start, CallError error) {
        ifTracked(start.worker(), tracked -> tracked.requireAnswer());
        mScheduler.fleet().setUsable(start.worker(), false);
        if (error.verdict() == Verdict.NOT_RUN) {
            mScheduler.endAttempt(
                    start.attempt(),
                    TaskReport.State.STOPPED,
                    "not started: " + error.message(),
                    mLock.nowMillis(),
                    mLock.wallMillis());
        }
        // Otherwise the next inventory of that worker shows whether the attempt runs.
        return false;
    }

    private boolean applyReport(AttemptId attempt, TaskReport report) {
        if (!report.hasEnded()) {
            mScheduler.markRunning(attempt);
            return true;
        }
        mScheduler.endAttempt(
                attempt,
                report.state(),
                report.usage(),
                report.message(),
                mLock.nowMillis(),
                mLock.wallMillis());
        return false;
    }

    private void sendStop(PlacementAction.Stop stop) {
        String address = addressOf(stop.worker());
        if (address.isEmpty() || !mContext.ownership().isConfirmed()) {
            return;
        }
        AttemptId attempt = stop.attempt();
        var unused =
                callSafely(() -> callStop(address, stop))
                        .whenComplete(
                                (result, error) ->
                                        handleStopResult(attempt, toCallResult(result, error)));
    }

    private CompletableFuture<Either<CallError, TaskReport>> callStop(
            String address, PlacementAction.Stop stop) {
        return mClient.stop(
                address,
                mContext.shard(),
                mContext.epoch(),
                stop.attempt().task(),
                stop.attempt().attempt(),
                stop.mode());
    }

    private void handleStopResult(AttemptId attempt, Either<CallError, TaskReport> result) {
        if (result.isLeft() || !result.get().hasEnded()) {
            // The scheduler repeats the stop until the attempt is known to have ended.
            return;
        }
        mLock.runLocked(() -> applyReport(attempt, result.get()));
        mOnRoomChanged.run();
    }

    private void endAttempt(AttemptId attempt, TaskReport.State state, String message) {
        mLock.runLocked(
                () ->
                        mScheduler.endAttempt(
                                attempt, state, message, mLock.nowMillis(), mLock.wallMillis()));
    }

    private String addressOf(String worker) {
        return mLock.readLocked(
                () -> {
                    TrackedWorker tracked = mWorkers.get(worker);
                    return tracked == null ? "" : tracked.host().address();
                });
    }

    private void ifTracked(String worker, Consumer<TrackedWorker> action) {
        TrackedWorker tracked = mWorkers.get(worker);
        if (tracked != null) {
            action.accept(tracked);
        }
    }

    /** Turns an exception of the client into a failed future, so that the failure is handled. */
    private static <T> CompletableFuture<Either<CallError, T>> callSafely(
            Supplier<CompletableFuture<Either<CallError, T>>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> Either<CallError, T> toCallResult(
            Either<CallError, T> result, Throwable error) {
        if (error == null) {
            return result;
        }
        return Either.left(
                CallError.mayHaveRun(CallError.Kind.BROKEN, String.valueOf(error.getMessage())));
    }
}
