package org.hyssoprouter.internal.workflow;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.lib.Room;

/**
 * Chooses workers for tasks that may have crashed a worker. While they are on trial, nothing else
 * starts on their worker, so that a further crash costs little and narrows down its cause.
 *
 * <p>After a first crash, tasks of several steps share a trial, as most of them only ran beside the
 * cause. After a second one, a step is tried by itself, beside runs that have lasted for a while.
 */
final class TrialPlacement {
    /** Maximum number of steps that share a trial. */
    static final int MAX_SHARED_STEPS = 4;

    /** Number of crashes from which a step is tried by itself. */
    private static final int SEPARATE_TRIAL_CRASHES = 2;

    /** Divisor of the number of workers of a pool that may hold trials at the same time. */
    private static final int POOL_DIVISOR = 2;

    private TrialPlacement() {}

    /** Returns whether the waiting tasks of a step may join the trials on a worker, if any. */
    static boolean accepts(PoolWorker worker, Step step) {
        List<Task> onTrial = worker.tasksOnTrial();
        if (onTrial.isEmpty()) {
            return true;
        }
        int crashes = step.waitingCrashes();
        if (crashes == 0) {
            return false;
        }
        Set<Step> steps = new HashSet<>();
        boolean separate = crashes >= SEPARATE_TRIAL_CRASHES;
        for (Task task : onTrial) {
            steps.add(task.mStep);
            separate |= task.mCrashes >= SEPARATE_TRIAL_CRASHES;
        }
        steps.add(step);
        return steps.size() <= (separate ? 1 : MAX_SHARED_STEPS);
    }

    /**
     * Selects workers for tasks that may have crashed a worker.
     *
     * @param limit maximum number of tasks to place
     * @param candidates workers that accept the step
     * @param pool all workers of the pool that receive new runs
     */
    static Map<Task, PoolWorker> select(
            Step step, int limit, List<PoolWorker> candidates, List<PoolWorker> pool) {
        boolean separate = step.waitingCrashes() >= SEPARATE_TRIAL_CRASHES;
        boolean mayUseFurther = mayUseFurther(pool, 0);
        List<PoolWorker> usable =
                candidates.stream()
                        .filter(it -> mayUseFurther || !it.tasksOnTrial().isEmpty())
                        .filter(it -> !separate || it.countRecentRuns(step) == 0)
                        .toList();
        return WorkerSelector.select(
                step, limit, usable, worker -> worker.freeFor(step), WorkerRanking.NONE);
    }

    /**
     * Returns whether trials may use a further worker of a pool.
     *
     * @param claimed number of workers that are to be cleared for trials
     */
    static boolean mayUseFurther(List<PoolWorker> pool, int claimed) {
        long used = pool.stream().filter(it -> !it.tasksOnTrial().isEmpty()).count() + claimed;
        return used < Math.max(1, pool.size() / POOL_DIVISOR);
    }

    /**
     * Returns the worker with room for a task of the step that should start nothing else until the
     * step can be tried by itself there, or none.
     */
    static List<PoolWorker> workerToClear(Step step, List<PoolWorker> candidates) {
        Room room = WorkerSelector.requiredRoom(step.mSpec);
        return candidates.stream()
                .filter(it -> room.fitsIn(it.freeFor(step)))
                .min(
                        Comparator.comparingInt((PoolWorker it) -> it.countRecentRuns(step))
                                .thenComparingInt(PoolWorker::runCount))
                .stream()
                .toList();
    }
}
