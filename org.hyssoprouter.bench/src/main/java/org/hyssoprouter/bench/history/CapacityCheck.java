package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** Checks that no worker exceeds its capacity and no executor its slots or connections. */
final class CapacityCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "host never overfilled";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> violations = new ArrayList<>();
        for (WorkerHistory worker : history.workers()) {
            addIfPositive(
                    violations, worker.worker(), worker.overfills(), "starts above its capacity");
        }
        for (ExecutorHistory executor : history.executors()) {
            addIfPositive(
                    violations,
                    executor.executor(),
                    executor.overfills(),
                    "requests above its slots");
            addIfPositive(
                    violations,
                    executor.executor(),
                    executor.connectionOverfills(),
                    "connections above its limit");
        }
        return violations;
    }

    private static void addIfPositive(
            List<String> violations, String name, long count, String description) {
        if (count > 0) {
            violations.add(name + " had " + count + " " + description);
        }
    }
}
