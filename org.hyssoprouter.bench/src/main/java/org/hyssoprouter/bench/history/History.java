package org.hyssoprouter.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.bench.CallerAnswer;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.WorkerHistory;

/**
 * What callers, executors and workers saw in one run.
 *
 * @param answers outcome of every sending of a request
 * @param executors histories of the executors
 * @param workers histories of the workers
 * @param leavingHosts hosts that left during the run
 * @since 0.1
 */
public record History(
        List<CallerAnswer> answers,
        List<ExecutorHistory> executors,
        List<WorkerHistory> workers,
        List<LeavingHost> leavingHosts) {
    /**
     * A host that began to leave.
     *
     * @param worker worker of the host
     * @param executors names of the executors on it
     * @param wallMillis wall clock of the change at the platform
     */
    public record LeavingHost(String worker, List<String> executors, long wallMillis) {}

    /** Returns the number of sendings, runs and events that the checks look at. */
    public int operationCount() {
        int runs = executors.stream().mapToInt(executor -> executor.runs().size()).sum();
        int events = workers.stream().mapToInt(worker -> worker.events().size()).sum();
        return answers.size() + runs + events;
    }

    /** Returns how often each request ran, by its key. */
    Map<String, Integer> runsByKey() {
        Map<String, Integer> counts = new HashMap<>();
        for (ExecutorHistory executor : executors) {
            executor.runs().forEach(run -> counts.merge(run.key(), 1, Integer::sum));
        }
        return counts;
    }
}
