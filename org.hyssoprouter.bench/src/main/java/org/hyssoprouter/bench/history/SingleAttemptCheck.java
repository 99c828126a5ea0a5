package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** The running times of a task's attempts, over all workers, do not overlap. */
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
        List<String> breaches = new ArrayList<>();
        byTask.forEach((task, intervals) -> addOverlaps(task, intervals, breaches));
        return breaches;
    }

    private static void collectIntervals(WorkerHistory worker, Map<String, List<Interval>> byTask) {
        Map<String, Interval> open = new HashMap<>();
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
                open.put(attempt, interval);
                continue;
            }
            Interval started = open.remove(attempt);
            if (event.event() == TaskEvent.Kind.ENDED && started != null) {
                add(byTask, task, started.until(event.wallMillis()));
            } else if (started != null) {
                open.put(attempt, started);
            }
        }
        open.forEach(
                (attempt, interval) ->
                        add(byTask, attempt.substring(0, attempt.indexOf('#')), interval));
    }

    private static void add(Map<String, List<Interval>> byTask, String task, Interval interval) {
        byTask.computeIfAbsent(task, key -> new ArrayList<>()).add(interval);
    }

    private static void addOverlaps(String task, List<Interval> intervals, List<String> breaches) {
        intervals.sort(Comparator.comparingLong(Interval::fromMillis));
        Interval longest = intervals.get(0);
        for (Interval next : intervals.subList(1, intervals.size())) {
            if (next.fromMillis() < longest.toMillis()) {
                breaches.add(task + " ran as " + longest + " and as " + next);
            }
            longest = next.toMillis() > longest.toMillis() ? next : longest;
        }
    }

    private record Interval(String worker, int attempt, long fromMillis, long toMillis) {
        Interval until(long endMillis) {
            return new Interval(worker, attempt, fromMillis, endMillis);
        }

        @Override
        public String toString() {
            String end = toMillis == Long.MAX_VALUE ? "the end" : Long.toString(toMillis);
            return "attempt " + attempt + " on " + worker + " from " + fromMillis + " to " + end;
        }
    }
}
