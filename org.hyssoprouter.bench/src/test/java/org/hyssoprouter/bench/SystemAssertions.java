package org.hyssoprouter.bench;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.bench.history.History;
import org.hyssoprouter.bench.history.HistoryChecker;
import org.hyssoprouter.standin.worker.TaskEvent;

/** Assertions on histories that the system tests share. */
final class SystemAssertions {
    private SystemAssertions() {}

    /** Fails on any violation, or if the history has too few runs or starts to be meaningful. */
    static void assertGuarantees(History history, long minRuns, long minStarts) {
        System.out.println("operations in the history: " + history.operationCount());
        assertEquals(List.of(), HistoryChecker.findViolations(history));
        long runs = history.executors().stream().mapToLong(e -> e.runs().size()).sum();
        assertTrue(runs >= minRuns, () -> "only " + runs + " requests ran");
        long starts =
                history.workers().stream()
                        .flatMap(worker -> worker.events().stream())
                        .filter(event -> event.event() == TaskEvent.Kind.STARTED)
                        .count();
        assertTrue(starts >= minStarts, () -> "only " + starts + " attempts started");
    }

    /** Fails unless the last answer to each request has verdict RAN. */
    static void assertAllRan(List<CallerAnswer> last) {
        List<CallerAnswer> notRun = last.stream().filter(answer -> !answer.ran()).toList();
        assertEquals(List.of(), notRun);
    }

    /** Alternates between idempotent and at-most-once requests. */
    static CallerRequest mixedRequest(int index) {
        return index % 2 == 0
                ? CallerRequest.idempotent("check-" + index, CellConfig.FIRST_CUSTOMER, 10)
                : CallerRequest.atMostOnce("booking-" + index, CellConfig.FIRST_CUSTOMER, 10);
    }
}
