package org.hyssoprouter.daemon.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hyssoprouter.daemon.placement.WorkerLinks.Renewal;
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
final class WorkerCalls implements ShardDecisions.ChangeHandler {
    private final ShardContext mContext;
    private final WorkerClient mWorkers;
    private final JobScheduler mBook;
    private final WorkerLinks mLinks;
    private final ShardDecisions mDecisions;
    private final Runnable mRoomChanged;
    private final AtomicInteger mOpenStarts = new AtomicInteger();
    // Written by the outbox, one step at a time.
    private volatile CompletableFuture<Either<TableError, Boolean>> mLastAppend =
            CompletableFuture.completedFuture(Either.right(true));
    private volatile boolean mStartsHeld;

    WorkerCalls(
            ShardContext context,
            WorkerClient workers,
            JobScheduler book,
            WorkerLinks links,
            Clock clock,
            MonotonicClock monotonic,
            Runnable roomChanged) {
        mContext = context;
        mWorkers = workers;
        mBook = book;
        mLinks = links;
        mDecisions = new ShardDecisions(book, clock, monotonic, this);
        mRoomChanged = roomChanged;
    }

    ShardDecisions decisions() {
        return mDecisions;
    }

    /** Sends no new start from now on. */
    void holdStarts() {
        mStartsHeld = true;
    }

    /** Returns whether no start is under way and all that was decided is durable. */
    boolean isQuiet() {
        return mOpenStarts.get() == 0 && mDecisions.isOutboxEmpty() && mLastAppend.isDone();
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
    public void carryOut(JobSchedulerOutput changes) {
        if (!changes.events().isEmpty()) {
            var unused = append(changes.events(), 0);
        }
        for (PlacementAction action : changes.actions()) {
            if (action instanceof PlacementAction.Start start) {
                start(start);
            } else if (action instanceof PlacementAction.Stop stop) {
                stop(stop);
            }
        }
    }

    /** Sends a renewal, whose answer is the worker's inventory. */
    void renew(Renewal renewal) {
        if (!mContext.ownership().isConfirmed()) {
            mDecisions.run(() -> withLink(renewal.worker(), l -> l.lease().onNotDelivered()));
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
                guard(() -> mWorkers.renew(renewal.address(), message))
                        .whenComplete(
                                (result, error) -> renewed(renewal, orUnknown(result, error)));
    }

    private void renewed(Renewal renewal, Either<CallError, WorkerStatus> result) {
        mDecisions.run(() -> withLink(renewal.worker(), link -> renewed(link, renewal, result)));
        mRoomChanged.run();
    }

    private void renewed(WorkerLink link, Renewal renewal, Either<CallError, WorkerStatus> result) {
        if (result.isLeft()) {
            notRenewed(link, result.getLeft());
        } else {
            reconcile(link, renewal, result.get());
        }
    }

    private void notRenewed(WorkerLink link, CallError error) {
        if (error.verdict() == Verdict.NOT_RUN) {
            link.lease().onNotDelivered();
        } else {
            link.lease().onUnknownOutcome(mDecisions.nowMillis());
        }
    }

    private void reconcile(WorkerLink link, Renewal renewal, WorkerStatus status) {
        long now = mDecisions.nowMillis();
        String worker = renewal.worker();
        link.answered(status.workerMillis(), renewal.sentMillis(), renewal.acknowledged(), now);
        mBook.reconcile(
                new WorkerStatus(worker, status.workerMillis(), status.tasks()),
                now,
                mDecisions.wallMillis());
        List<AttemptId> ended =
                status.tasks().stream()
                        .filter(TaskReport::hasEnded)
                        .map(report -> new AttemptId(report.task(), report.attempt()))
                        .toList();
        mLinks.reviewUse(link, now);
        mLinks.reviewInventory(now);
        if (!ended.isEmpty()) {
            acknowledgeLater(worker, ended);
        }
    }

    /**
     * Lets a worker forget ended attempts once their ends are durable. The step runs in the outbox
     * after the append of the ends; appends become durable in their order.
     */
    private void acknowledgeLater(String worker, List<AttemptId> ended) {
        JobSchedulerOutput ends = mBook.takeOutput();
        mDecisions.callLater(
                () -> {
                    carryOut(ends);
                    var unused =
                            mLastAppend.thenAccept(
                                    done -> {
                                        if (done.isRight()) {
                                            mDecisions.run(
                                                    () ->
                                                            withLink(
                                                                    worker,
                                                                    l -> l.acknowledge(ended)));
                                        }
                                    });
                });
    }

    private void start(PlacementAction.Start start) {
        AttemptId attempt = start.attempt();
        Option<StartOrder> order = mDecisions.decide(() -> order(start));
        if (order.isEmpty()) {
            return;
        }
        if (mStartsHeld || !mContext.ownership().isConfirmed()) {
            ended(attempt, TaskReport.State.STOPPED, "the owner may not act now");
            return;
        }
        mOpenStarts.incrementAndGet();
        var unused =
                guard(() -> mWorkers.start(addressOf(start.worker()), order.get()))
                        .whenComplete((result, error) -> started(start, orUnknown(result, error)));
    }

    private Option<StartOrder> order(PlacementAction.Start start) {
        WorkerLink link = mLinks.get(start.worker());
        long now = mDecisions.nowMillis();
        long notAfter = link == null ? 0 : link.notAfterMillis(now);
        if (link != null) {
            link.used(now);
        }
        if (!mBook.prepareStart(start.attempt(), notAfter, now, mDecisions.wallMillis())) {
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

    private void started(PlacementAction.Start start, Either<CallError, TaskReport> result) {
        mOpenStarts.decrementAndGet();
        mDecisions.run(
                () ->
                        result.fold(
                                error -> notStarted(start, error),
                                report -> reported(start.attempt(), report)));
    }

    private boolean notStarted(PlacementAction.Start start, CallError error) {
        withLink(start.worker(), link -> link.requireAnswer());
        mBook.fleet().setUsable(start.worker(), false);
        if (error.verdict() == Verdict.NOT_RUN) {
            mBook.endAttempt(
                    start.attempt(),
                    TaskReport.State.STOPPED,
                    "not started: " + error.message(),
                    mDecisions.nowMillis(),
                    mDecisions.wallMillis());
        }
        // Otherwise the next inventory of that worker settles it.
        return false;
    }

    private boolean reported(AttemptId attempt, TaskReport report) {
        if (!report.hasEnded()) {
            mBook.markRunning(attempt);
            return true;
        }
        mBook.endAttempt(
                attempt,
                report.state(),
                report.usage(),
                report.message(),
                mDecisions.nowMillis(),
                mDecisions.wallMillis());
        return false;
    }

    private void stop(PlacementAction.Stop stop) {
        String address = addressOf(stop.worker());
        if (address.isEmpty() || !mContext.ownership().isConfirmed()) {
            return;
        }
        AttemptId attempt = stop.attempt();
        var unused =
                guard(() -> sendStop(address, stop))
                        .whenComplete(
                                (result, error) -> stopped(attempt, orUnknown(result, error)));
    }

    private CompletableFuture<Either<CallError, TaskReport>> sendStop(
            String address, PlacementAction.Stop stop) {
        return mWorkers.stop(
                address,
                mContext.shard(),
                mContext.epoch(),
                stop.attempt().task(),
                stop.attempt().attempt(),
                stop.mode());
    }

    private void stopped(AttemptId attempt, Either<CallError, TaskReport> result) {
        if (result.isLeft() || !result.get().hasEnded()) {
            // The order is repeated until the attempt is known to have ended.
            return;
        }
        mDecisions.run(() -> reported(attempt, result.get()));
        mRoomChanged.run();
    }

    private void ended(AttemptId attempt, TaskReport.State state, String message) {
        mDecisions.run(
                () ->
                        mBook.endAttempt(
                                attempt,
                                state,
                                message,
                                mDecisions.nowMillis(),
                                mDecisions.wallMillis()));
    }

    private String addressOf(String worker) {
        return mDecisions.read(
                () -> {
                    WorkerLink link = mLinks.get(worker);
                    return link == null ? "" : link.host().address();
                });
    }

    private void withLink(String worker, Consumer<WorkerLink> step) {
        WorkerLink link = mLinks.get(worker);
        if (link != null) {
            step.accept(link);
        }
    }

    /** Turns an exception of the port into a failed call, so that its outcome is still handled. */
    private static <T> CompletableFuture<Either<CallError, T>> guard(
            Supplier<CompletableFuture<Either<CallError, T>>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static <T> Either<CallError, T> orUnknown(
            Either<CallError, T> result, Throwable error) {
        if (error == null) {
            return result;
        }
        return Either.left(
                CallError.mayHaveRun(CallError.Kind.BROKEN, String.valueOf(error.getMessage())));
    }
}
