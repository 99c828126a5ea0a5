package org.hyssoprouter.bench.history;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hyssoprouter.bench.CallerAnswer;
import org.hyssoprouter.bench.CallerRequest;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.TaskEvent.Kind;
import org.hyssoprouter.standin.worker.WorkerHistory;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class HistoryCheckerTest {
    private static final CallerRequest REQUEST = CallerRequest.atMostOnce("k", "c", 0);

    @Test
    void correctHistoryHasNoViolation() {
        assertViolations(
                List.of(),
                List.of(answer(Verdict.RAN, "k\n")),
                List.of(executor(0, "k")),
                List.of(worker("w", event(10, Kind.STARTED, 1), event(20, Kind.ENDED, 1))));
    }

    @Test
    void detectsOverfill() {
        assertViolations(
                List.of("host never overfilled: e had 2 requests above its slots"),
                List.of(),
                List.of(executor(2)),
                List.of());
    }

    @Test
    void detectsOverlappingAttempts() {
        assertViolations(
                List.of(
                        "no task in two places: j/0 ran as attempt 1 on v from 10 to 30"
                                + " and as attempt 2 on w from 29 to the end"),
                List.of(),
                List.of(),
                List.of(
                        worker("v", event(10, Kind.STARTED, 1), event(30, Kind.ENDED, 1)),
                        worker("w", event(5, Kind.REFUSED, 2), event(29, Kind.STARTED, 2))));
    }

    @Test
    void acceptsConsecutiveAttempts() {
        assertViolations(
                List.of(),
                List.of(),
                List.of(),
                List.of(
                        worker("v", event(10, Kind.STARTED, 1), event(30, Kind.ENDED, 1)),
                        worker("w", event(30, Kind.STARTED, 2), event(40, Kind.ENDED, 2))));
    }

    @Test
    void detectsWrongAnswerBody() {
        assertViolations(
                List.of(
                        "complete, own answer: k received 4 bytes instead of 2,"
                                + " starting with l|ab"),
                List.of(answer(Verdict.RAN, "l\nab")),
                List.of(executor(0, "k")),
                List.of());
    }

    @Test
    void detectsIncorrectVerdicts() {
        assertViolations(
                List.of("'not run' is true: k had verdict NOT_RUN but ran"),
                List.of(answer(Verdict.NOT_RUN, "")),
                List.of(executor(0, "k")),
                List.of());
        assertViolations(
                List.of("'not run' is true: k had verdict RAN but did not run"),
                List.of(answer(Verdict.RAN, "k\n")),
                List.of(),
                List.of());
    }

    @Test
    void detectsSecondRunForAnyVerdict() {
        assertViolations(
                List.of("non-idempotent at most once: k ran 2 times"),
                List.of(answer(null, ""), answer(Verdict.MAY_HAVE_RUN, "")),
                List.of(executor(0, "k"), executor(0, "k")),
                List.of());
    }

    @Test
    void detectsLateWorkOnLeavingHost() {
        History history =
                new History(
                        List.of(),
                        List.of(executor(0, "k")),
                        List.of(worker("w", event(4_000, Kind.STARTED, 1))),
                        List.of(new History.LeavingHost("w", List.of("e"), -4_500)));
        assertEquals(
                List.of(
                        "leaving target: e received k 4500 ms after its host started to leave",
                        "leaving target: w received j/0 8500 ms after its host started to leave"),
                HistoryChecker.findViolations(history));
    }

    private static void assertViolations(
            List<String> expected,
            List<CallerAnswer> answers,
            List<ExecutorHistory> executors,
            List<WorkerHistory> workers) {
        History history = new History(answers, executors, workers, List.of());
        assertEquals(expected, HistoryChecker.findViolations(history));
    }

    private static CallerAnswer answer(@Nullable Verdict verdict, String body) {
        int status = verdict == null ? 0 : 200;
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new CallerAnswer(REQUEST, "d", status, verdict, bytes, 0, 1);
    }

    private static ExecutorHistory executor(long overfills, String... keys) {
        List<ExecutorHistory.Run> runs =
                List.of(keys).stream().map(key -> new ExecutorHistory.Run("r", 0, key)).toList();
        return new ExecutorHistory("e", overfills, 0, runs);
    }

    private static WorkerHistory worker(String name, TaskEvent... events) {
        return new WorkerHistory(name, 0, 0, List.of(events));
    }

    private static TaskEvent event(long wallMillis, Kind kind, int attempt) {
        return new TaskEvent(wallMillis, kind, "j", 0, attempt, "");
    }
}
