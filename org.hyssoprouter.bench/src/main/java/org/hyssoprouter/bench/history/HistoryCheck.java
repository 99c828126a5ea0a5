package org.hyssoprouter.bench.history;

import java.util.List;

/**
 * Verifies one guarantee of the scheduler against a recorded history.
 *
 * @since 0.1
 */
public interface HistoryCheck {
    /** Returns a short description of the guarantee. */
    String guarantee();

    /** Returns one line for each violation of the guarantee. */
    List<String> findViolations(History history);
}
