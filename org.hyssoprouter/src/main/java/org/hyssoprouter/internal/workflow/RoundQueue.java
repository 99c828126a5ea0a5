package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/**
 * Order in which a placement round tries the waiting steps, and how many of them. The time of a
 * round and what it starts are bounded, whatever was accepted.
 */
final class RoundQueue {
    /**
     * Number of workers, those of all tried steps together, that a round looks at. The steps that
     * it does not try are those of the next round.
     */
    static final int MAX_VISITED_WORKERS = 300_000;

    /**
     * Number of runs that the owner holds at a time, four times what it is to carry. Further tasks
     * wait, and so do gangs with more members than are left.
     */
    static final int MAX_ACTIVE_RUNS = 40_000;

    private final PoolState mState;
    private final PlacementRound mRound;
    private final RoundLimits mLimits;
    private final long mNowMillis;
    private final PoolCapacities mCapacities;

    /** Number of runs that the owner may hold in addition to those before this round. */
    private final int mFreeRuns;

    /** Steps with more tasks than they were allowed to start. */
    private final List<QueuedStep> mCutSteps = new ArrayList<>();

    /** Numbers of starting steps and of runs at which no further ones are started at present. */
    private int mMaxSteps;

    private int mMaxRuns;

    RoundQueue(PoolState state, PlacementRound round, RoundLimits limits, long nowMillis) {
        mState = state;
        mRound = round;
        mLimits = limits;
        mNowMillis = nowMillis;
        mCapacities = new PoolCapacities(round::schedulableWorkers);
        mFreeRuns = MAX_ACTIVE_RUNS - state.activeRuns();
    }

    /**
     * A waiting step and the values that determine its position in the round; the first one that
     * differs decides.
     *
     * @param shareLevel how far its workspace is above its share of the pool
     * @param number position among steps that are equal otherwise
     */
    private record QueuedStep(
            Step step,
            QueuePolicy policy,
            PlacementOrder.Rank rank,
            boolean isTrial,
            int shareLevel,
            int number)
            implements Comparable<QueuedStep> {
        private static final Comparator<QueuedStep> ORDER =
                Comparator.comparing((QueuedStep queued) -> !queued.isTrial())
                        .thenComparingInt(queued -> queued.rank().urgency())
                        .thenComparingInt(QueuedStep::shareLevel)
                        .thenComparing(QueuedStep::rank)
                        .thenComparingInt(QueuedStep::number);

        QueuedStep atLevel(int level) {
            return new QueuedStep(step, policy, rank, isTrial, level, number);
        }

        @Override
        public int compareTo(QueuedStep other) {
            return ORDER.compare(this, other);
        }
    }

    /** Tries the waiting steps. */
    void run() {
        PriorityQueue<QueuedStep> queue = untriedSteps();
        if (queue.isEmpty() && !mState.mTriedSteps.isEmpty()) {
            mState.mTriedSteps.clear();
            queue = untriedSteps();
        }
        mMaxSteps = mLimits.unreservedSteps();
        mMaxRuns = mLimits.unreservedRuns();
        Set<Step> tried = new HashSet<>();
        while (!queue.isEmpty() && mayStart() && mRound.visitedWorkers() < MAX_VISITED_WORKERS) {
            QueuedStep queued = queue.remove();
            if (tryPlace(queued, mMaxRuns)) {
                tried.add(queued.step());
            } else {
                queue.add(queued.atLevel(mRound.shareLevelOf(queued.step())));
            }
        }
        if (queue.isEmpty()) {
            mState.mTriedSteps.clear();
        }
        if (queue.isEmpty() && mCutSteps.isEmpty()) {
            return;
        }
        if (mRound.visitedWorkers() >= MAX_VISITED_WORKERS) {
            mState.mTriedSteps.addAll(tried);
        } else {
            mCutSteps.addAll(queue);
            placeReserved(mCutSteps);
        }
    }

    /** Returns the waiting steps that no round has tried since all of them were tried last. */
    private PriorityQueue<QueuedStep> untriedSteps() {
        PriorityQueue<QueuedStep> queue = new PriorityQueue<>();
        for (Step step : mState.mWaitingSteps) {
            if (mState.mTriedSteps.contains(step)) {
                continue;
            }
            for (QueuePolicy policy : mState.placementPolicyOf(step.mWorkflow)) {
                queue.add(
                        new QueuedStep(
                                step,
                                policy,
                                mState.mOrder.rank(step, policy, mNowMillis),
                                step.waitingCrashes() > 0,
                                mRound.shareLevelOf(step),
                                queue.size()));
            }
        }
        return queue;
    }

    /**
     * Starts tasks of the workflows with the fewest runs. Those before them have more tasks to
     * start than the round may start.
     */
    private void placeReserved(List<QueuedStep> queue) {
        mMaxSteps = mLimits.steps();
        mMaxRuns = mLimits.runs();
        int runsPerStep = Math.max(1, (mMaxRuns - mRound.startedRuns()) / queue.size());
        queue.sort(
                Comparator.comparingInt((QueuedStep it) -> it.step().mWorkflow.activeRuns())
                        .thenComparing(it -> it.step().mWorkflow.mBegun)
                        .thenComparing(Comparator.naturalOrder()));
        for (QueuedStep queued : List.copyOf(queue)) {
            if (!mayStart() || mRound.visitedWorkers() >= MAX_VISITED_WORKERS) {
                return;
            }
            tryPlace(queued, runsPerStep);
        }
    }

    private boolean mayStart() {
        return mRound.startingSteps() < mMaxSteps
                && mRound.startedRuns() < Math.min(mMaxRuns, mFreeRuns);
    }

    /**
     * Places tasks of a step.
     *
     * @param maxRuns maximum number of runs to start, unless the tasks form a gang
     * @return false if its workspace has come to another level, as earlier steps have started
     */
    private boolean tryPlace(QueuedStep queued, int maxRuns) {
        Step step = queued.step();
        if (mRound.shareLevelOf(step) > queued.shareLevel()) {
            return false;
        }
        if (mCapacities.isTooWide(step, queued.policy().pool()) || exceedsFreeRuns(step)) {
            step.releaseReservations();
            step.mHasWaitedForRoom = true;
            return true;
        }
        int tasks = mRound.admittedCount(step);
        int limit = Math.min(maxRuns, Math.min(mMaxRuns, mFreeRuns) - mRound.startedRuns());
        int formerRuns = mRound.startedRuns();
        if (tasks > limit && !step.mSpec.gang()) {
            mRound.place(step, limit, queued.policy());
            if (mRound.startedRuns() == formerRuns + limit) {
                mCutSteps.add(queued);
            }
        } else if (tasks > 0) {
            mRound.place(step, tasks, queued.policy());
        } else if (step.count(Task.Phase.WAITING) == 0) {
            mState.removeWaiting(step);
        }
        step.mHasWaitedForRoom = mRound.startedRuns() == formerRuns;
        return true;
    }

    /** Returns whether a gang has more members than the owner may hold further runs. */
    private boolean exceedsFreeRuns(Step step) {
        int free = mFreeRuns - mRound.startedRuns();
        if (!step.mSpec.gang() || step.mSpec.taskCount() <= free) {
            return false;
        }
        if (!step.mHasWaitedForRuns) {
            step.mHasWaitedForRuns = true;
            mState.mOutput.recordDecision(
                    step.mKey,
                    "waits, as the owner holds too many runs",
                    "members=%d free=%d".formatted(step.mSpec.taskCount(), free));
        }
        return true;
    }
}
