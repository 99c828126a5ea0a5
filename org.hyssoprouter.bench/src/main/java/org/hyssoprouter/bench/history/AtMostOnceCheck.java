package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.bench.CallerAnswer;

/** Checks that each non-idempotent request runs at most once, however often it is sent. */
final class AtMostOnceCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "non-idempotent at most once";
    }

    @Override
    public List<String> findViolations(History history) {
        Map<String, Integer> runs = history.runsByKey();
        Set<String> reported = new HashSet<>();
        List<String> violations = new ArrayList<>();
        for (CallerAnswer answer : history.answers()) {
            String key = answer.request().key();
            int count = runs.getOrDefault(key, 0);
            if (!answer.request().idempotent() && count > 1 && reported.add(key)) {
                violations.add(key + " ran " + count + " times");
            }
        }
        return violations;
    }
}
