package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.TaskKey;

/** Tasks that crash each worker that starts them, with the number of workers crashed so far. */
final class DeadlyTasks {
    private final Map<TaskKey, Integer> mCrashes = new HashMap<>();
    private long mDownMillis = SimulatedWorker.DOWN_MILLIS;

    /** Sets the time from a crash to the start of the worker's next incarnation. */
    void setDownMillis(long millis) {
        mDownMillis = millis;
    }

    long downMillis() {
        return mDownMillis;
    }

    void add(TaskKey task) {
        mCrashes.put(task, 0);
    }

    boolean contains(TaskKey task) {
        return mCrashes.containsKey(task);
    }

    void countCrash(TaskKey task) {
        mCrashes.merge(task, 1, Integer::sum);
    }

    int crashes(TaskKey task) {
        return mCrashes.getOrDefault(task, 0);
    }
}
