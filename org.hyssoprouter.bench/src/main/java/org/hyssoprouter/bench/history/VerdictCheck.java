package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.bench.CallerAnswer;
import org.hyssoprouter.lib.Verdict;

/** Checks that a request with only NOT_RUN verdicts never ran, and one with RAN did run. */
final class VerdictCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "'not run' is true";
    }

    @Override
    public List<String> findViolations(History history) {
        Map<String, Integer> runs = history.runsByKey();
        Map<String, Boolean> alwaysNotRun = new HashMap<>();
        List<String> violations = new ArrayList<>();
        for (CallerAnswer answer : history.answers()) {
            String key = answer.request().key();
            alwaysNotRun.merge(key, answer.verdict() == Verdict.NOT_RUN, Boolean::logicalAnd);
            if (answer.ran() && !runs.containsKey(key)) {
                violations.add(key + " had verdict RAN but did not run");
            }
        }
        alwaysNotRun.forEach(
                (key, notRun) -> {
                    if (notRun && runs.containsKey(key)) {
                        violations.add(key + " had verdict NOT_RUN but ran");
                    }
                });
        return violations;
    }
}
