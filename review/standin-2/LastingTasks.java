import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A job whose tasks last and fail now and then, on executors of one kind. Arguments: file of the record. */
public final class LastingTasks {
    private static final int EXECUTORS = 8;
    private static final int WITH_LABEL = 2;
    private static final int TASKS = 40;
    private static final String ID = "00000000000000c1";
    private static final long STARTUP_MILLIS = 300;
    private static final long MIN_LIFE_MILLIS = 10_000;
    private static final long MAX_LIFE_MILLIS = 50_000;
    private static final double PLAY_SECONDS = 90;

    private static final double SHARE_SECONDS = 60;

    /** "From 6 s after its last run", then 3 s with nothing running. */
    private static final double MAX_GAP_SECONDS = 6 + 3;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, true);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                if (!trouble) {
                    return Long.MAX_VALUE / 2;
                }
                Random random = new Random(31L * task.hashCode() + run);
                random.nextLong();
                return MIN_LIFE_MILLIS + (long) (random.nextDouble() * (MAX_LIFE_MILLIS - MIN_LIFE_MILLIS));
            }

            @Override
            public String endOf(String task, int run) {
                return "failed";
            }

            @Override
            public int percent(String task, int run, long workedMillis) {
                return workedMillis < STARTUP_MILLIS ? 0 : 100;
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            for (int i = 0; i < EXECUTORS; i++) {
                new Executor(Cell.ip(0), "i-%010x".formatted(0xc0 + i), Cell.SERVICE, i < WITH_LABEL ? "b" : "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                code = play(cell, record, runs);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs) throws Exception {
        var job = Cell.job("lasting");
        Cell.step(job, TASKS, 1_000, 2_000, 0).put("LongRunning", true).put("Image", "im-1").put("Requirements", "b");
        if (cell.submit(cell.mNodes.get(0), ID, job).status() != 200) {
            return 2;
        }
        Thread.sleep((long) (PLAY_SECONDS * 1_000));
        record.add("GET " + ID + " -> " + Cell.name(cell.state(cell.mNodes.get(1), ID)));
        double end = record.seconds();
        int late = 0;
        int gaps = 0;
        double longest = 0;
        Map<String, RunLog.Span> last = new HashMap<>();
        List<RunLog.Span> spans = runs.spansOf(ID);
        for (RunLog.Span span : spans) {
            RunLog.Span former = last.put(span.mTask, span);
            if (former != null) {
                gaps++;
                double gap = span.mStart - former.mEnd;
                longest = Math.max(longest, gap);
                if (gap > MAX_GAP_SECONDS) {
                    late++;
                    record.add("%s was away for %.1f s: run %d ended at %.1f, run %d started at %.1f"
                            .formatted(span.mTask, gap, former.mRun, former.mEnd, span.mRun, span.mStart));
                }
            }
        }
        for (RunLog.Span span : last.values()) {
            if (span.mEnd >= 0 && end - span.mEnd > MAX_GAP_SECONDS) {
                late++;
                record.add("%s is away for %.1f s: run %d ended at %.1f, none has started since"
                        .formatted(span.mTask, end - span.mEnd, span.mRun, span.mEnd));
            }
        }
        double runSeconds = 0;
        for (RunLog.Span span : spans) {
            double until = span.mEnd < 0 ? end : span.mEnd;
            runSeconds += Math.max(0, until - Math.max(span.mStart, end - SHARE_SECONDS));
        }
        record.add("in the last %.0f s, %.1f of %d tasks ran on the mean".formatted(SHARE_SECONDS, runSeconds / SHARE_SECONDS, TASKS));
        record.add("restarts " + gaps + ", longest time without a run %.1f s, away for over %.0f s: %d"
                .formatted(longest, MAX_GAP_SECONDS, late) + "; the tasks need " + TASKS + " of "
                + WITH_LABEL * 64 + " cores with their label");
        return late > 0 ? 1 : 0;
    }
}
