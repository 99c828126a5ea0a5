import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One job with many tasks among small jobs. Arguments: file of the record. */
public final class LargeJob {
    private static final int EXECUTORS = 8;
    private static final String LARGE_ID = "00000000000000b0";
    private static final double TRAFFIC_SECONDS = 15;
    private static final double FINISH_SECONDS = 14;
    private static final double WATCH_SECONDS = 10;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int tasks = trouble ? 2_400 : 200;
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, true);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                return 1_000;
            }

            @Override
            public String endOf(String task, int run) {
                return "done";
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            for (int i = 0; i < EXECUTORS; i++) {
                new Executor(Cell.ip(0), "i-%010x".formatted(0xb0 + i), Cell.SERVICE, "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                code = play(cell, record, runs, tasks);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs, int tasks) throws Exception {
        List<String> accepted = new ArrayList<>();
        double start = record.seconds();
        for (int i = 0; record.seconds() - start < TRAFFIC_SECONDS; i++) {
            String id = "%016x".formatted(0xb100 + i);
            var job = Cell.job("small");
            Cell.step(job, 1, 1_000, 256, 1_000);
            if (cell.submit(cell.mNodes.get(i % 3), id, job).status() == 200) {
                accepted.add(id);
            }
            if (i == 4) {
                var large = Cell.job("large");
                Cell.step(large, tasks, 100, 64, 1_000);
                record.add("the next job has " + tasks + " tasks");
                if (cell.submit(cell.mNodes.get(0), LARGE_ID, large).status() == 200) {
                    accepted.add(LARGE_ID);
                }
            }
            Thread.sleep(1_000);
        }
        double from = record.seconds() + FINISH_SECONDS;
        double to = from + WATCH_SECONDS;
        record.add("the traffic has ended");
        Thread.sleep((long) ((to - record.seconds()) * 1_000));
        Map<String, String> broken = new LinkedHashMap<>();
        for (String id : accepted) {
            Cell.Answer answer = cell.state(cell.mNodes.get(1), id);
            boolean complete = answer.body().contains("complete");
            double[] gap = runs.longestGap(id, from, to);
            record.add("GET " + id + " -> " + Cell.name(answer) + "; runs " + runs.spansOf(id).size()
                    + (complete ? "" : "; nothing of it ran for %.1f s".formatted(gap[0])));
            if (!complete && gap[0] >= 3) {
                broken.put(id, answer.body());
            }
        }
        record.add("tasks of the large job that have started: "
                + runs.spansOf(LARGE_ID).stream().map(it -> it.mTask).distinct().count() + " of " + tasks);
        record.add("calls that the store has refused for the size of a row: " + cell.mStore.tooLargeCount());
        record.add("accepted jobs with nothing running for 3 s, " + (int) FINISH_SECONDS
                + " s after the traffic, while the executors are idle: " + broken.size() + " of " + accepted.size());
        return broken.isEmpty() ? 0 : 1;
    }
}
