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
                    new NeverOverfilled(),
                    new OnePlaceAtATime(),
                    new CompleteOwnAnswer(),
                    new TrueVerdict(),
                    new AtMostOnce(),
                    new NothingNewOnLeaving());

    private HistoryChecker() {}

    /** Returns all breaches, each as {@code promise: what was seen}. */
    public static List<String> breaches(History history) {
        List<String> breaches = new ArrayList<>();
        for (HistoryCheck check : CHECKS) {
            for (String breach : check.breaches(history)) {
                breaches.add(check.promise() + ": " + breach);
            }
        }
        return breaches;
    }

    /** Returns the promises that are checked. */
    public static List<HistoryCheck> checks() {
        return CHECKS;
    }
}
