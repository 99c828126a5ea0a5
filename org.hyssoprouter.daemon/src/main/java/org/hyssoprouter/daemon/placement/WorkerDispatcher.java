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
 * Journals decisions and sends renewals, starts and stops to the workers. The right to act is
 * checked directly before each call.
 */
final class WorkerDispatcher implements SchedulerLock.OutputHandler {
    private final ShardContext mContext;
    private final WorkerClient mClient;
    private final JobScheduler mScheduler;
    private final WorkerTracker mWorkers;
    private final SchedulerLock mLock;
    private final Runnable mOnRoomChanged;
    private final AtomicInteger mStartsInFlight = new AtomicInteger();
    // Written by the outbox, one step at a time.
    private volatile CompletableFuture<Either<TableError, Boolean>> mLastAppend =
            CompletableFuture.completedFuture(Either.right(true));
    private volatile boolean mStartsDisabled;

    WorkerDispatcher(
            ShardContext context,
            WorkerClient workers,
            JobScheduler book,
            WorkerTracker links,
            Clock clock,
            MonotonicClock monotonic,
            Runnable roomChanged) {
        mContext = context;
        mClient = workers;
        mScheduler = book;
        mWorkers = links;
        mLock = new SchedulerLock(book, clock, monotonic, this);
        mOnRoomChanged = roomChanged;
    }

    SchedulerLock lock() {
        return mLock;
    }

    /** Sends no new start from now on. */
    void disableStarts() {
        mStartsDisabled = true;
    }

    /** Returns whether no start is under way and all that was decided is durable. */
    boolean isIdle() {
        return mStartsInFlight.get() == 0 && mLock.isCallQueueEmpty() && mLastAppend.isDone();
    }

    /** Appends events in the order of the outbox. */
    CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        CompletableFuture<Either<TableError, Boolean>> appended =
                mContext.log().append(events, withinMillis);
        mLastAppend = appended;
        return appended;
    }

    @Override
    public void handleOutput(JobSchedulerOutput changes) {
        if (!changes.events().isEmpty()) {
            var unused = append(changes.events(), 0);
        }
        for (PlacementAction action : changes.actions()) {
            if (action instanceof PlacementAction.Start start) {
                sendStart(start);
            } else if (action instanceof PlacementAction.Stop stop) {
                sendStop(stop);
            }
        }
    }

    /** Sends a renewal, whose answer is the worker's inventory. */
    void sendRenewal(Renewal renewal) {
        if (!mContext.ownership().isConfirmed()) {
            mLock.runLocked(() -> ifTracked(renewal.worker(), l -> l.lease().onNotDelivered()));
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
                                link -> handleRenewalResult(link, renewal, result)));
        mOnRoomChanged.run();
    }

    private void handleRenewalResult(
            TrackedWorker link, Renewal renewal, Either<CallError, WorkerStatus> result) {
        if (result.isLeft()) {
            handleRenewalFailure(link, result.getLeft());
        } else {
            handleInventory(link, renewal, result.get());
        }
    }

    private void handleRenewalFailure(TrackedWorker link, CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            link.lease().onNotDelivered();
        } else {
            link.lease().onUnknownOutcome(mLock.nowMillis());
        }
    }

    private void handleInventory(TrackedWorker link, Renewal renewal, WorkerStatus status) {
        long now = mLock.nowMillis();
        String worker = renewal.worker();
        link.onAnswer(status.workerMillis(), renewal.sentMillis(), renewal.acknowledged(), now);
        mScheduler.reconcile(
                new WorkerStatus(worker, status.workerMillis(), status.tasks()),
                now,
                mLock.wallMillis());
        List<AttemptId> ended =
                status.tasks().stream()
                        .filter(TaskReport::hasEnded)
                        .map(report -> new AttemptId(report.task(), report.attempt()))
                        .toList();
        mWorkers.updateUsable(link, now);
        mWorkers.updateInventoryState(now);
        if (!ended.isEmpty()) {
            acknowledgeOnceDurable(worker, ended);
        }
    }

    /**
     * Lets a worker forget ended attempts once their ends are durable. The step runs in the outbox
     * after the append of the ends; appends become durable in their order.
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
                                                                    l -> l.acknowledge(ended)));
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
            endAttempt(attempt, TaskReport.State.STOPPED, "the owner may not act now");
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
        TrackedWorker link = mWorkers.get(start.worker());
        long now = mLock.nowMillis();
        long notAfter = link == null ? 0 : link.startNotAfterMillis(now);
        if (link != null) {
            link.scheduleBusyRenewal(now);
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
        ifTracked(start.worker(), link -> link.requireAnswer());
        mScheduler.fleet().setUsable(start.worker(), false);
        if (error.verdict() == Verdict.NOT_RUN) {
            mScheduler.endAttempt(
                    start.attempt(),
                    TaskReport.State.STOPPED,
                    "not started: " + error.message(),
                    mLock.nowMillis(),
                    mLock.wallMillis());
        }
        // Otherwise the next inventory of that worker settles it.
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
            // The order is repeated until the attempt is known to have ended.
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
                    TrackedWorker link = mWorkers.get(worker);
                    return link == null ? "" : link.host().address();
                });
    }

    private void ifTracked(String worker, Consumer<TrackedWorker> step) {
        TrackedWorker link = mWorkers.get(worker);
        if (link != null) {
            step.accept(link);
        }
    }

    /** Turns an exception of the port into a failed call, so that its outcome is still handled. */
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
