package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs all checks against a history.
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

    /** Returns all violations, each as {@code guarantee: violation}. */
    public static List<String> findViolations(History history) {
        List<String> violations = new ArrayList<>();
        for (HistoryCheck check : CHECKS) {
            for (String violation : check.findViolations(history)) {
                violations.add(check.guarantee() + ": " + violation);
            }
        }
        return violations;
    }

    /** Returns all checks. */
    public static List<HistoryCheck> checks() {
        return CHECKS;
    }
}
