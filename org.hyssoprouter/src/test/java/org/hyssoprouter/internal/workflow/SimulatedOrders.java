package org.hyssoprouter.internal.workflow;

import java.util.Random;
import org.hyssoprouter.lib.workflow.StartOutcome;
import org.hyssoprouter.lib.workflow.TaskStart;

/**
 * Delivers start orders over a slow network to workers that may carry them out late. An attempt
 * without an answer is repeated, as {@code RunDispatcher} does.
 */
final class SimulatedOrders {
    /** Time after which an attempt counts as unanswered; it cannot arrive later than that. */
    static final long TIMEOUT_MILLIS = 600;

    private static final int MAX_ATTEMPTS = 3;
    private static final int ANSWER_MILLIS = 3;
    private static final int MAX_LATE_MILLIS = 2_500;

    private final SimulatedPool mPool;
    private final Random mRandom;

    SimulatedOrders(SimulatedPool pool, Random random) {
        mPool = pool;
        mRandom = random;
    }

    /** An attempt; {@code repeated} if an earlier one was not answered. */
    private final class Attempt {
        final PoolScheduler mScheduler;
        final TaskStart mOrder;
        final long mEpoch;
        final int mNumber;
        final boolean mRepeated;
        boolean mEnded;

        Attempt(
                PoolScheduler scheduler,
                TaskStart order,
                long epoch,
                int number,
                boolean repeated) {
            mScheduler = scheduler;
            mOrder = order;
            mEpoch = epoch;
            mNumber = number;
            mRepeated = repeated;
        }

        void send() {
            long deadlineMillis = mScheduler.grantLease(mOrder.workerId(), mPool.nowMillis());
            boolean slow = mRandom.nextInt(4) == 0;
            mPool.at(
                    slow ? mRandom.nextInt((int) TIMEOUT_MILLIS) : ANSWER_MILLIS,
                    () -> arrive(deadlineMillis));
            mPool.at(TIMEOUT_MILLIS, this::expire);
        }

        private void arrive(long deadlineMillis) {
            SimulatedWorker worker = mPool.worker(mOrder.workerId());
            if (worker.isDisconnected()) {
                return;
            }
            if (mRandom.nextInt(10) > 0) {
                StartOutcome outcome = worker.repeatableStart(mOrder, mEpoch, deadlineMillis);
                mPool.at(ANSWER_MILLIS, () -> answer(outcome));
                return;
            }
            long incarnation = worker.incarnationMillis();
            mPool.at(
                    mRandom.nextInt(MAX_LATE_MILLIS),
                    () -> {
                        if (worker.incarnationMillis() == incarnation && !worker.isDisconnected()) {
                            worker.repeatableStart(mOrder, mEpoch, deadlineMillis);
                        }
                    });
        }

        private void answer(StartOutcome outcome) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            boolean conclusive = !mRepeated || outcome == StartOutcome.ACCEPTED;
            finish(conclusive ? outcome : StartOutcome.UNKNOWN);
        }

        private void expire() {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mScheduler.markStartUnanswered(mOrder);
            if (mNumber < MAX_ATTEMPTS
                    && mScheduler.equals(mPool.scheduler())
                    && mScheduler.isStartCurrent(mOrder)) {
                new Attempt(mScheduler, mOrder, mEpoch, mNumber + 1, true).send();
            } else {
                finish(StartOutcome.UNKNOWN);
            }
        }

        private void finish(StartOutcome outcome) {
            mPool.handleStartOutcome(mScheduler, mOrder, outcome);
        }
    }

    /** Sends an order of an owner. */
    void send(PoolScheduler scheduler, TaskStart order, long epoch) {
        new Attempt(scheduler, order, epoch, 1, false).send();
    }
}
