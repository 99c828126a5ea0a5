import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** All daemons are killed after some hours of ordinary traffic. Arguments: file of the record. */
public final class History {
    private static final int EXECUTORS = 8;

    /** Jobs a second in the sheet of lefain-sched: 1.01 + 3.04 + 21.6. */
    private static final double JOBS_PER_SECOND = 25.65;

    private static final double RECOVERY_SECONDS = 12;
    private static final double WATCH_SECONDS = 30;
    private static final double FINISH_SECONDS = 14;
    private static final int ROWS_PER_CALL = 45;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        double hours = Double.parseDouble(System.getenv().getOrDefault("HOURS", "2.5"));
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, false);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                return 500;
            }

            @Override
            public String endOf(String task, int run) {
                return "done";
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            for (int i = 0; i < EXECUTORS; i++) {
                new Executor(Cell.ip(0), "i-%010x".formatted(0xe0 + i), Cell.SERVICE, "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                code = play(cell, record, runs, trouble, hours);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int sCount;

    /** Hands in a job four times a second. Returns the identifiers of the accepted ones. */
    private static List<String> traffic(Cell cell, Record record, double seconds) throws Exception {
        List<String> accepted = new ArrayList<>();
        double end = record.seconds() + seconds;
        while (record.seconds() < end) {
            String id = "%016x".formatted(0xe100 + sCount);
            var job = Cell.job("reminder");
            Cell.step(job, 2, 5_600, 21_000, 500);
            if (cell.submit(cell.mNodes.get(sCount++ % 3), id, job).status() == 200) {
                accepted.add(id);
            }
            Thread.sleep(250);
        }
        return accepted;
    }

    private static int play(Cell cell, Record record, RunLog runs, boolean trouble, double hours) throws Exception {
        List<String> acceptedBefore = traffic(cell, record, 6);
        int before = acceptedBefore.size();
        int sentBefore = sCount;
        Thread.sleep(4_000);
        addHistory(cell, record, hours, trouble ? 0 : 62);
        if (trouble) {
            for (Cell.Node node : cell.mNodes) {
                cell.signal(node, "KILL");
                node.mProcess.waitFor();
            }
            Thread.sleep(1_000);
            cell.startAll();
        }
        Thread.sleep((long) (RECOVERY_SECONDS * 1_000));
        int first = sCount;
        List<String> accepted = traffic(cell, record, trouble ? WATCH_SECONDS : 5);
        int sent = sCount - first;
        record.add("the traffic has ended");
        Thread.sleep((long) (FINISH_SECONDS * 1_000));
        double to = record.seconds();
        int lost = 0;
        for (String id : accepted) {
            boolean ran = runs.spansOf(id).stream().map(it -> it.mTask).distinct().count() == 2;
            double[] gap = runs.longestGap(id, to - 5, to);
            if (!ran && gap[0] >= 3) {
                lost++;
            }
        }
        int unknown = 0;
        for (String id : acceptedBefore.subList(0, Math.min(6, before))) {
            Cell.Answer answer = cell.state(cell.mNodes.get(unknown % 3), id);
            record.add("GET " + id + " -> " + Cell.name(answer));
            unknown += answer.status() == 200 ? 0 : 1;
        }
        for (Cell.Node node : cell.mNodes) {
            record.add(node.mName + (cell.isReady(node) ? " is ready" : " is not ready") + (node.mProcess.isAlive() ? "" : " and has ended")
                    + "; lines of its log with OutOfMemoryError: " + cell.log(node, "OutOfMemoryError").size());
        }
        record.add("served at first: " + before + " of " + sentBefore + "; at the end: " + accepted.size() + " of " + sent);
        record.add("accepted jobs of these with a task that never ran, " + (int) FINISH_SECONDS
                + " s after the traffic, while the executors are idle: " + lost
                + "; jobs accepted at first whose state is not answered: " + unknown + " of 6 asked for");
        if (before * 4 < sentBefore) {
            return 2;
        }
        return lost > 0 || unknown > 0 || accepted.size() * 4 < sent ? 1 : 0;
    }

    /** Adds the rows of finished jobs, as hours of traffic leave them. */
    private static void addHistory(Cell cell, Record record, double hours, double seconds) throws Exception {
        int jobs = (int) (hours * 3_600 * JOBS_PER_SECOND);
        List<Store.Row> first = new ArrayList<>();
        for (String table : List.of("hyssop-states", "hyssop-runs")) {
            cell.mStore.rows(table).stream().filter(it -> it.key().equals("%016x".formatted(0xe100))).forEach(first::add);
        }
        double start = record.seconds();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            ids.add("%016x".formatted(0x9e3779b97f4a7c15L * (i + 1)));
            if (ids.size() == ROWS_PER_CALL || i == jobs - 1) {
                for (Store.Row row : first) {
                    cell.mStore.copy(row, ids);
                }
                ids.clear();
                double due = start + seconds * i / jobs;
                if (due > record.seconds()) {
                    Thread.sleep((long) ((due - record.seconds()) * 1_000));
                }
            }
        }
        record.add("the store holds the rows of " + jobs + " more finished jobs: copies of what the daemons wrote for the first one in "
                + first.stream().map(it -> it.table() + " (" + Base64.getDecoder().decode(it.value()).length + " bytes)").toList());
    }
}
