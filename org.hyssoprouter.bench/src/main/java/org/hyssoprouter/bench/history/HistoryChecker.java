package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds a history against all promises.
 *
 * @since 0.1
 */
public final class HistoryChecker {
    private static final List<HistoryCheck> CHECKS =
            List.of(
                    new CapacityCheck(),
                    new SingleAttemptCheck(),
                    new AnswerIntegrityCheck(),
                    new VerdictCheck(),
                    new AtMostOnceCheck(),
                    new LeavingHostCheck());

    private HistoryChecker() {}

    /** Returns all breaches, each as {@code promise: what was seen}. */
    public static List<String> findViolations(History history) {
        List<String> breaches = new ArrayList<>();
        for (HistoryCheck check : CHECKS) {
            for (String breach : check.findViolations(history)) {
                breaches.add(check.guarantee() + ": " + breach);
            }
        }
        return breaches;
    }

    /** Returns the promises that are checked. */
    public static List<HistoryCheck> checks() {
        return CHECKS;
    }
}
