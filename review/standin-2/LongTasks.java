import java.nio.file.Path;
import java.util.List;

/** A job whose task takes five minutes, on executors of one kind. Arguments: file of the record. */
public final class LongTasks {
    private static final int EXECUTORS = 8;
    private static final int WITH_LABEL = 2;
    private static final int CPU = 18_000;
    private static final String ID = "00000000000000a1";
    private static final double FINISH_SECONDS = 14;
    private static final double PLAY_SECONDS = 45;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        long runMillis = trouble ? 300_000 : 100_000;
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, true);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                return runMillis;
            }

            @Override
            public String endOf(String task, int run) {
                return "done";
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            for (int i = 0; i < EXECUTORS; i++) {
                new Executor(Cell.ip(0), "i-%010x".formatted(0xa0 + i), Cell.SERVICE, i < WITH_LABEL ? "b" : "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                code = play(cell, record, runs, runMillis);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs, long runMillis) throws Exception {
        var job = Cell.job("night run");
        Cell.step(job, 1, CPU, 52_000, runMillis).put("Requirements", "b");
        if (cell.submit(cell.mNodes.get(0), ID, job).status() != 200) {
            return 2;
        }
        double from = record.seconds() + FINISH_SECONDS;
        double to = from - FINISH_SECONDS + PLAY_SECONDS;
        while (record.seconds() < to) {
            Thread.sleep(5_000);
            record.add("GET " + ID + " -> " + Cell.name(cell.state(cell.mNodes.get(1), ID)));
        }
        List<RunLog.Span> spans = runs.spansOf(ID);
        long stopped = spans.stream().filter(it -> it.mHow.equals("stopped")).count();
        double longest = spans.stream().mapToDouble(it -> (it.mEnd < 0 ? record.seconds() : it.mEnd) - it.mStart).max().orElse(0);
        double[] gap = runs.longestGap(ID, from, to);
        record.add("runs of the task " + spans.size() + ", of these stopped by an order " + stopped
                + "; longest run %.1f s of %d s".formatted(longest, runMillis / 1000));
        record.add("the job has nothing running for %.1f s (%.1f to %.1f), in use is nothing, capacity is there for it %.1f times"
                .formatted(gap[0], gap[1], gap[2], WITH_LABEL * (64_000 / CPU) / 1.0));
        return gap[0] >= 3 ? 1 : 0;
    }
}
