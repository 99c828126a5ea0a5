package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.bench.CallerAnswer;
import org.hyssoprouter.lib.Verdict;

/** What was said not to have run did not run, and what was said to have run did. */
final class VerdictCheck implements HistoryCheck {
    @Override
    public String guarantee() {
        return "'not run' is true";
    }

    @Override
    public List<String> findViolations(History history) {
        Map<String, Integer> runs = history.runsByKey();
        Map<String, Boolean> onlyNotRun = new HashMap<>();
        List<String> breaches = new ArrayList<>();
        for (CallerAnswer answer : history.answers()) {
            String key = answer.request().key();
            onlyNotRun.merge(key, answer.verdict() == Verdict.NOT_RUN, Boolean::logicalAnd);
            if (answer.ran() && !runs.containsKey(key)) {
                breaches.add(key + " was said to have run and did not");
            }
        }
        onlyNotRun.forEach(
                (key, notRun) -> {
                    if (notRun && runs.containsKey(key)) {
                        breaches.add(key + " was said not to have run and ran");
                    }
                });
        return breaches;
    }
}
