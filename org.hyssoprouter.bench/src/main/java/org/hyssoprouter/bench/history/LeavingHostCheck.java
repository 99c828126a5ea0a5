package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.bench.history.History.LeavingHost;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** Checks that a leaving host receives no request and no task after a grace period. */
final class LeavingHostCheck implements HistoryCheck {
    private static final long GRACE_MILLIS = 4_000;

    @Override
    public String guarantee() {
        return "leaving target";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> violations = new ArrayList<>();
        for (LeavingHost leave : history.leavingHosts()) {
            long deadlineMillis = leave.wallMillis() + GRACE_MILLIS;
            for (ExecutorHistory executor : history.executors()) {
                if (leave.executors().contains(executor.executor())) {
                    addLateRuns(executor, deadlineMillis, violations);
                }
            }
            for (WorkerHistory worker : history.workers()) {
                if (leave.worker().equals(worker.worker())) {
                    addLateStarts(worker, deadlineMillis, violations);
                }
            }
        }
        return violations;
    }

    private static void addLateRuns(
            ExecutorHistory executor, long deadlineMillis, List<String> violations) {
        for (ExecutorHistory.Run run : executor.runs()) {
            if (run.wallMillis() > deadlineMillis) {
                violations.add(
                        executor.executor()
                                + " received "
                                + run.key()
                                + formatDelay(run.wallMillis(), deadlineMillis));
            }
        }
    }

    private static void addLateStarts(
            WorkerHistory worker, long deadlineMillis, List<String> violations) {
        for (TaskEvent event : worker.events()) {
            if (event.event() == TaskEvent.Kind.STARTED && event.wallMillis() > deadlineMillis) {
                violations.add(
                        worker.worker()
                                + " received "
                                + event.job()
                                + "/"
                                + event.index()
                                + formatDelay(event.wallMillis(), deadlineMillis));
            }
        }
    }

    private static String formatDelay(long wallMillis, long deadlineMillis) {
        return " "
                + (wallMillis - deadlineMillis + GRACE_MILLIS)
                + " ms after its host started to leave";
    }
}
