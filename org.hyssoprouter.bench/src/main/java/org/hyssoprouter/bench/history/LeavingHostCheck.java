package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.bench.history.History.LeavingHost;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** A host that is leaving gets no new request and no new task after a few seconds. */
final class LeavingHostCheck implements HistoryCheck {
    private static final long GRACE_MILLIS = 4_000;

    @Override
    public String guarantee() {
        return "leaving target";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> breaches = new ArrayList<>();
        for (LeavingHost leave : history.leavingHosts()) {
            long lastMillis = leave.wallMillis() + GRACE_MILLIS;
            for (ExecutorHistory executor : history.executors()) {
                if (leave.executors().contains(executor.executor())) {
                    addLateRuns(executor, lastMillis, breaches);
                }
            }
            for (WorkerHistory worker : history.workers()) {
                if (leave.worker().equals(worker.worker())) {
                    addLateStarts(worker, lastMillis, breaches);
                }
            }
        }
        return breaches;
    }

    private static void addLateRuns(
            ExecutorHistory executor, long lastMillis, List<String> breaches) {
        for (ExecutorHistory.Run run : executor.runs()) {
            if (run.wallMillis() > lastMillis) {
                breaches.add(
                        executor.executor()
                                + " got "
                                + run.key()
                                + formatDelay(run.wallMillis(), lastMillis));
            }
        }
    }

    private static void addLateStarts(
            WorkerHistory worker, long lastMillis, List<String> breaches) {
        for (TaskEvent event : worker.events()) {
            if (event.event() == TaskEvent.Kind.STARTED && event.wallMillis() > lastMillis) {
                breaches.add(
                        worker.worker()
                                + " got "
                                + event.job()
                                + "/"
                                + event.index()
                                + formatDelay(event.wallMillis(), lastMillis));
            }
        }
    }

    private static String formatDelay(long wallMillis, long lastMillis) {
        return " " + (wallMillis - lastMillis + GRACE_MILLIS) + " ms after it began to leave";
    }
}
