import java.nio.file.Path;
import java.util.List;

/** An executor loses power and starts again as one of another kind. Arguments: file of the record. */
public final class KindChange {
    private static final int EXECUTORS = 8;
    private static final double DOWN_SECONDS = 1.0;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, true);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                return 400;
            }

            @Override
            public String endOf(String task, int run) {
                return "done";
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            Executor[] executors = new Executor[EXECUTORS];
            for (int i = 0; i < EXECUTORS; i++) {
                executors[i] = new Executor(Cell.ip(0), "i-%010x".formatted(0xf0 + i), Cell.SERVICE, i < 2 ? "b" : "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                code = play(cell, record, runs, executors, trouble);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs, Executor[] executors, boolean trouble) throws Exception {
        double start = record.seconds();
        boolean down = false;
        boolean back = false;
        Executor used = null;
        for (int i = 0; record.seconds() - start < 12; i++) {
            var job = Cell.job("needs b");
            Cell.step(job, 1, 2_000, 256, 400).put("Requirements", "b");
            cell.submit(cell.mNodes.get(i % 3), "%016x".formatted(0xf100 + i), job);
            Thread.sleep(100);
            if (trouble && !down && record.seconds() - start > 4) {
                List<RunLog.Span> spans = runs.spans();
                String id = spans.get(spans.size() - 1).mExecutor;
                used = executors[0].mId.equals(id) ? executors[0] : executors[1];
                record.add(used.mId + " loses power");
                used.goDark();
                down = true;
            }
            if (down && !back && record.seconds() - start > 4 + DOWN_SECONDS) {
                record.add(used.mId + " starts again as kind a");
                used.startAgain("a");
                back = true;
            }
        }
        Thread.sleep(5_000);
        long wrong = runs.spans().stream().filter(it -> !it.mKind.equals("b")).count();
        record.add("starts of tasks that require b: " + runs.spans().size() + ", on an executor of kind a: " + wrong);
        return wrong > 0 ? 1 : 0;
    }
}
