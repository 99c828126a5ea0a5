package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hyssoprouter.bench.CallerAnswer;

/** Checks that each answer from a target is complete and belongs to its request. */
final class AnswerIntegrityCheck implements HistoryCheck {
    private static final int OK = 200;

    @Override
    public String guarantee() {
        return "complete, own answer";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> violations = new ArrayList<>();
        for (CallerAnswer answer : history.answers()) {
            if (answer.isAnswered() && answer.verdict() == null) {
                violations.add(answer.request().key() + " was answered without a verdict");
            }
            boolean isTargetAnswer = answer.ran() && answer.status() == OK;
            byte[] expected = answer.request().expectedAnswer();
            if (isTargetAnswer && !Arrays.equals(answer.body(), expected)) {
                violations.add(describe(answer, expected.length));
            }
        }
        return violations;
    }

    private static String describe(CallerAnswer answer, int expectedLength) {
        String text = answer.text();
        String prefix = text.substring(0, Math.min(text.length(), 40)).replace('\n', '|');
        return answer.request().key()
                + " received "
                + answer.body().length
                + " bytes instead of "
                + expectedLength
                + ", starting with "
                + prefix;
    }
}
