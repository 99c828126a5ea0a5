package org.hyssoprouter.bench.history;

import java.util.List;

/**
 * One promise, checked against a history.
 *
 * @since 0.1
 */
public interface HistoryCheck {
    /** Returns the promise in a few words. */
    String guarantee();

    /** Returns one line for each breach of the promise. */
    List<String> findViolations(History history);
}
