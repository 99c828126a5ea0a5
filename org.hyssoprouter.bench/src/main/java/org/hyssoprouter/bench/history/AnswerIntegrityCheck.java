package org.hyssoprouter.bench.history;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hyssoprouter.bench.CallerAnswer;

/** An answer of a target is the whole answer to that very request. */
final class AnswerIntegrityCheck implements HistoryCheck {
    private static final int OK = 200;

    @Override
    public String guarantee() {
        return "complete, own answer";
    }

    @Override
    public List<String> findViolations(History history) {
        List<String> breaches = new ArrayList<>();
        for (CallerAnswer answer : history.answers()) {
            if (answer.isAnswered() && answer.verdict() == null) {
                breaches.add(answer.request().key() + " was answered without a verdict");
            }
            boolean targetAnswer = answer.ran() && answer.status() == OK;
            byte[] expected = answer.request().expectedAnswer();
            if (targetAnswer && !Arrays.equals(answer.body(), expected)) {
                breaches.add(describe(answer, expected.length));
            }
        }
        return breaches;
    }

    private static String describe(CallerAnswer answer, int expectedLength) {
        String text = answer.text();
        String head = text.substring(0, Math.min(text.length(), 40)).replace('\n', '|');
        return answer.request().key()
                + " got "
                + answer.body().length
                + " bytes instead of "
                + expectedLength
                + ", beginning with "
                + head;
    }
}
