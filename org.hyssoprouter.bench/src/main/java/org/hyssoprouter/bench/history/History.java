package org.hyssoprouter.bench.history;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.bench.CallerAnswer;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.WorkerHistory;

/**
 * Events that callers, executors and workers recorded during one run.
 *
 * @param answers outcome of each attempt to send a request
 * @param executors histories of the executors
 * @param workers histories of the workers
 * @param leavingHosts hosts that started to leave during the run
 * @since 0.1
 */
public record History(
        List<CallerAnswer> answers,
        List<ExecutorHistory> executors,
        List<WorkerHistory> workers,
        List<LeavingHost> leavingHosts) {
    /**
     * A host that started to leave the cluster.
     *
     * @param worker name of the worker on the host
     * @param executors names of the executors on the host
     * @param wallMillis wall-clock time, in milliseconds, at which the platform marked the host as
     *     leaving
     */
    public record LeavingHost(String worker, List<String> executors, long wallMillis) {}

    /** Returns the number of send attempts, runs and task events in this history. */
    public int operationCount() {
        int runs = executors.stream().mapToInt(executor -> executor.runs().size()).sum();
        int events = workers.stream().mapToInt(worker -> worker.events().size()).sum();
        return answers.size() + runs + events;
    }

    /** Returns the number of runs of each request, by request key. */
    Map<String, Integer> runsByKey() {
        Map<String, Integer> counts = new HashMap<>();
        for (ExecutorHistory executor : executors) {
            executor.runs().forEach(run -> counts.merge(run.key(), 1, Integer::sum));
        }
        return counts;
    }
}
