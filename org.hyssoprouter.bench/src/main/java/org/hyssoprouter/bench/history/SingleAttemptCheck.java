package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** Checks that the attempts of a task, over all workers, do not overlap in time. */
final class SingleAttemptCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "no task in two places";
    }

    @Override
    public List<String> findViolations(History history) {
        Map<String, List<Interval>> byTask = new HashMap<>();
        for (WorkerHistory worker : history.workers()) {
            collectIntervals(worker, byTask);
        }
        List<String> violations = new ArrayList<>();
        byTask.forEach((task, intervals) -> addOverlaps(task, intervals, violations));
        return violations;
    }

    private static void collectIntervals(WorkerHistory worker, Map<String, List<Interval>> byTask) {
        Map<String, Interval> openIntervals = new HashMap<>();
        for (TaskEvent event : worker.events()) {
            String task = event.job() + "/" + event.index();
            String attempt = task + "#" + event.attempt();
            if (event.event() == TaskEvent.Kind.STARTED) {
                Interval interval =
                        new Interval(
                                worker.worker(),
                                event.attempt(),
                                event.wallMillis(),
                                Long.MAX_VALUE);
                openIntervals.put(attempt, interval);
                continue;
            }
            Interval started = openIntervals.remove(attempt);
            if (event.event() == TaskEvent.Kind.ENDED && started != null) {
                add(byTask, task, started.withEnd(event.wallMillis()));
            } else if (started != null) {
                openIntervals.put(attempt, started);
            }
        }
        openIntervals.forEach(
                (attempt, interval) ->
                        add(byTask, attempt.substring(0, attempt.indexOf('#')), interval));
    }

    private static void add(Map<String, List<Interval>> byTask, String task, Interval interval) {
        byTask.computeIfAbsent(task, key -> new ArrayList<>()).add(interval);
    }

    private static void addOverlaps(
            String task, List<Interval> intervals, List<String> violations) {
        intervals.sort(Comparator.comparingLong(Interval::fromMillis));
        Interval latest = intervals.get(0);
        for (Interval next : intervals.subList(1, intervals.size())) {
            if (next.fromMillis() < latest.toMillis()) {
                violations.add(task + " ran as " + latest + " and as " + next);
            }
            latest = next.toMillis() > latest.toMillis() ? next : latest;
        }
    }

    private record Interval(String worker, int attempt, long fromMillis, long toMillis) {
        Interval withEnd(long endMillis) {
            return new Interval(worker, attempt, fromMillis, endMillis);
        }

        @Override
        public String toString() {
            String end = toMillis == Long.MAX_VALUE ? "the end" : Long.toString(toMillis);
            return "attempt " + attempt + " on " + worker + " from " + fromMillis + " to " + end;
        }
    }
}
