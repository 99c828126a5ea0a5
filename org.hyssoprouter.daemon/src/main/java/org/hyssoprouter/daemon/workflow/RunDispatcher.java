package org.hyssoprouter.daemon.workflow;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.TaskStop;
import org.hyssoprouter.transport.TaskRunner;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Sends orders to start and stop runs to the workers. An unanswered start is sent again to the same
 * worker, which ignores a repeat; only after several attempts is its outcome unknown. A start that
 * could not be sent is repeated as long as its worker and its ticket remain usable.
 */
final class RunDispatcher {
    private static final EventLogger LOG = EventLogger.of(RunDispatcher.class);
    private static final int MAX_START_ATTEMPTS = 3;

    /** Delay before a start that did not leave this host is sent again. */
    private static final long UNSENT_RETRY_MILLIS = 50;

    private final PoolScheduler mScheduler;
    private final TaskRunner mRunner;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Listener mListener;
    private final BooleanSupplier mOwnership;
    private final OwnerLoadMonitor mLoadMonitor;
    private volatile boolean mClosed;

    /** Number of start orders that were sent and whose outcome is not known yet. */
    private int mUnansweredStartCount;

    /** Receives the events of the orders. */
    interface Listener {
        /** An answer has been processed. */
        void onAnswerHandled();

        /** A worker has seen an owner with a higher fencing token. */
        void onOwnershipLost(String reason);
    }

    /**
     * Creates a dispatcher without orders.
     *
     * @param ownership returns whether this daemon is certainly still the owner
     */
    RunDispatcher(
            PoolScheduler scheduler,
            TaskRunner runner,
            SerialExecutor thread,
            MonotonicClock clock,
            Listener listener,
            BooleanSupplier ownership,
            OwnerLoadMonitor loadMonitor) {
        mOwnership = ownership;
        mLoadMonitor = loadMonitor;
        mScheduler = scheduler;
        mRunner = runner;
        mThread = thread;
        mClock = clock;
        mListener = listener;
    }

    void close() {
        mClosed = true;
    }

    int unansweredStartCount() {
        return mUnansweredStartCount;
    }

    /**
     * Sends a start whose row is durable, unless it has been superseded or its ticket has expired
     * meanwhile.
     */
    void sendStart(TaskStart order, long epoch) {
        mLoadMonitor.recordStartDelay(mScheduler.placementAgeMillis(order, mClock.millis()));
        if (!mScheduler.confirmStart(order, mClock.millis())) {
            LOG.log(
                    LogEvent.RUN_START_WITHDRAWN,
                    order.task(),
                    order.run(),
                    order.workerId(),
                    epoch);
            return;
        }
        LOG.log(LogEvent.RUN_START_SENT, order.task(), order.run(), order.workerId(), epoch);
        mUnansweredStartCount++;
        send(new Attempt(order, epoch, 1, false));
    }

    /**
     * An attempt to deliver a start order.
     *
     * @param number number of the attempt, from 1
     * @param mayHaveArrived whether an earlier attempt may have reached the worker
     */
    private record Attempt(TaskStart order, long epoch, int number, boolean mayHaveArrived) {
        Attempt next(boolean arrivalUnknown) {
            return new Attempt(order, epoch, number + 1, mayHaveArrived || arrivalUnknown);
        }
    }

    private void send(Attempt attempt) {
        TaskStart order = attempt.order();
        long deadlineMillis = mScheduler.grantLease(order.workerId(), mClock.millis());
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mRunner.start(order, deadlineMillis, attempt.epoch()),
                                "start",
                                reason -> StartOutcome.UNKNOWN)
                        .thenAccept(
                                outcome ->
                                        mThread.execute(
                                                () -> handleStartOutcome(attempt, outcome)));
    }

    private void handleStartOutcome(Attempt attempt, StartOutcome outcome) {
        mLoadMonitor.recordStartOutcome(outcome);
        logIfUnusual(attempt, outcome);
        if (mClosed) {
            return;
        }
        if (outcome == StartOutcome.UNKNOWN) {
            mScheduler.markStartUnanswered(attempt.order());
        }
        // A worker that has restarted would accept the order of a former owner.
        boolean attemptsLeft = attempt.number() < MAX_START_ATTEMPTS && mOwnership.getAsBoolean();
        if (attemptsLeft
                && outcome == StartOutcome.UNKNOWN
                && mScheduler.isStartCurrent(attempt.order())) {
            send(attempt.next(true));
        } else if (attemptsLeft
                && outcome == StartOutcome.NOT_SENT
                && mScheduler.mayResendStart(attempt.order(), mClock.millis())) {
            mThread.schedule(() -> resend(attempt), UNSENT_RETRY_MILLIS);
        } else {
            finish(attempt, outcome);
        }
    }

    private static void logIfUnusual(Attempt attempt, StartOutcome outcome) {
        if (outcome != StartOutcome.ACCEPTED || attempt.number() > 1) {
            TaskStart order = attempt.order();
            LOG.log(
                    LogEvent.RUN_START_ATTEMPTED,
                    order.task(),
                    order.run(),
                    order.workerId(),
                    attempt.number(),
                    outcome);
        }
    }

    /** Repeats an attempt that was not sent, unless the order has been superseded meanwhile. */
    private void resend(Attempt attempt) {
        if (mClosed) {
            return;
        }
        if (mOwnership.getAsBoolean()
                && mScheduler.mayResendStart(attempt.order(), mClock.millis())) {
            send(attempt.next(false));
        } else {
            finish(attempt, StartOutcome.NOT_SENT);
        }
    }

    private void finish(Attempt attempt, StartOutcome outcome) {
        mUnansweredStartCount--;
        // After a lost answer, only an acceptance or a fencing rejection is conclusive; any other
        // outcome leaves open what an earlier attempt did.
        boolean conclusive =
                !attempt.mayHaveArrived()
                        || outcome == StartOutcome.ACCEPTED
                        || outcome == StartOutcome.FENCED;
        StartOutcome effective = conclusive ? outcome : StartOutcome.UNKNOWN;
        if (!mScheduler.handleStartOutcome(attempt.order(), effective, mClock.millis())) {
            mListener.onOwnershipLost(
                    "worker "
                            + attempt.order().workerId()
                            + " rejected a start because of its fencing token");
            return;
        }
        mListener.onAnswerHandled();
    }

    /** Sends a stop and passes on whether the worker acknowledged it. */
    void sendStop(TaskStop order, long epoch) {
        long sentMillis = mClock.millis();
        CompletableFuture<Void> unused =
                PortCalls.recover(mRunner.stop(order, epoch), "stop", reason -> false)
                        .thenAccept(
                                acknowledged ->
                                        mThread.execute(
                                                () -> {
                                                    mScheduler.handleStopReply(
                                                            order,
                                                            acknowledged,
                                                            sentMillis,
                                                            mClock.millis());
                                                    mListener.onAnswerHandled();
                                                }));
    }
}
