import java.nio.file.Path;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Jobs wait for unhealthy executors while the owner is killed. Arguments: file of the record. */
public final class QueuedJobs {
    private static final int EXECUTORS = 33;
    private static final int WITH_LABEL = 2;
    private static final int JOBS = 6;

    /** Largest dose of srv_grey in the site file. */
    private static final double SHED_SECONDS = 6.5;

    private static final double VISIBLE_SECONDS = 3.0;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
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
            List<Executor> shedding = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                Executor executor = new Executor(Cell.ip(0), "i-%010x".formatted(0x80 + i), Cell.SERVICE, i < WITH_LABEL ? "b" : "a", "r1-1",
                        64_000, 262_144, cell.mStore, behavior, runs);
                if (i < WITH_LABEL) {
                    shedding.add(executor);
                }
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                Thread.sleep(2_000);
                code = play(cell, record, runs, shedding, trouble);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs, List<Executor> shedding, boolean trouble) throws Exception {
        Cell.Node owner = owner(cell);
        List<Cell.Node> others = cell.mNodes.stream().filter(it -> it != owner).toList();
        shedding.forEach(it -> it.setSheds(true));
        double shedAt = record.seconds();
        record.add("the executors with label b turn starts away");
        for (int i = 0; i < JOBS; i++) {
            var job = Cell.job("needs b");
            Cell.step(job, 1, 2_000, 256, 1_000).put("Requirements", "b");
            if (cell.submit(others.get(0), "%016x".formatted(0x8100 + i), job).status() != 200) {
                return 2;
            }
        }
        double accepted = record.seconds();
        Thread.sleep(1_500);
        if (trouble) {
            cell.signal(owner, "KILL");
            owner.mProcess.waitFor();
            cell.start(owner);
        }
        int wrong = 0;
        int right = 0;
        while (record.seconds() < shedAt + SHED_SECONDS) {
            Thread.sleep(100);
            if (record.seconds() > accepted + VISIBLE_SECONDS + 2 && runs.spans().isEmpty()) {
                for (Cell.Node node : others) {
                    Cell.Answer answer = cell.call("GET", node.mFront, Cell.PREFIX, null, 1_000);
                    record.add("GET the count at " + node.mName + " -> " + Cell.name(answer) + "; accepted and not begun: " + JOBS);
                    if (answer.status() == 200) {
                        int count = Store.JSON.readTree(answer.body()).path("QueuedCount").asInt();
                        if (count * 2 < JOBS) {
                            wrong++;
                        } else {
                            right++;
                        }
                    }
                }
            }
        }
        shedding.forEach(it -> it.setSheds(false));
        record.add("counts under half of the jobs: " + wrong + ", others: " + right);
        Thread.sleep(6_000);
        return wrong > 0 ? 1 : right > 0 ? 0 : 2;
    }

    private static Cell.Node owner(Cell cell) {
        for (Store.Row row : cell.mStore.rows("hyssop-states")) {
            if (row.key().equals("!owner")) {
                String text = new String(Base64.getDecoder().decode(row.value()), StandardCharsets.ISO_8859_1);
                return cell.mNodes.stream().filter(it -> text.contains(it.mName)).findFirst().orElseThrow();
            }
        }
        throw new IllegalStateException("no owner");
    }
}
