package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.WorkerHistory;

/** No worker is granted more than its capacity, no executor runs more than its slots. */
final class CapacityCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "host never overfilled";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> breaches = new ArrayList<>();
        for (WorkerHistory worker : history.workers()) {
            add(breaches, worker.worker(), worker.overfills(), "starts above its capacity");
        }
        for (ExecutorHistory executor : history.executors()) {
            add(breaches, executor.executor(), executor.overfills(), "requests above its slots");
            add(
                    breaches,
                    executor.executor(),
                    executor.connectionOverfills(),
                    "connections above its limit");
        }
        return breaches;
    }

    private static void add(List<String> breaches, String name, long count, String what) {
        if (count > 0) {
            breaches.add(name + " had " + count + " " + what);
        }
    }
}
