import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;

/** A job is cancelled at one daemon while its submission waits at a frozen one. Arguments: file of the record. */
public final class CancelledJob {
    private static final int EXECUTORS = 4;
    private static final int TASKS = 4;
    private static final long RUN_MILLIS = 40_000;
    private static final String ID = "00000000000000d1";

    /** Largest dose of node_freeze in the site file. */
    private static final double FREEZE_SECONDS = 4.0;

    private static final double CONTACT_SECONDS = 4.0;
    private static final double CANCEL_SECONDS = 3.0;
    private static final double STOP_SECONDS = Cell.STOP_MILLIS / 1000.0;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[0]));
        RunLog runs = new RunLog(record, true);
        Executor.Behavior behavior = new Executor.Behavior() {
            @Override
            public long runMillis(String task, int run) {
                return RUN_MILLIS;
            }

            @Override
            public String endOf(String task, int run) {
                return "done";
            }
        };
        int code = 2;
        try (Cell cell = new Cell(record, 3)) {
            for (int i = 0; i < EXECUTORS; i++) {
                new Executor(Cell.ip(0), "i-%010x".formatted(0xd0 + i), Cell.SERVICE, "a", "r1-1", 64_000, 262_144,
                        cell.mStore, behavior, runs);
            }
            cell.configure(7);
            cell.startAll();
            if (cell.awaitReady(20)) {
                Thread.sleep(2_000);
                code = play(cell, record, runs, trouble);
            }
        }
        record.add("exit code " + code);
        System.exit(code);
    }

    private static int play(Cell cell, Record record, RunLog runs, boolean trouble) throws Exception {
        List<Cell.Node> others = others(cell);
        Cell.Node frozen = others.get(0);
        Cell.Node other = others.get(1);
        if (trouble) {
            cell.signal(frozen, "STOP");
        }
        double frozenAt = record.seconds();
        Thread.sleep(200);
        var job = Cell.job("booking");
        Cell.step(job, TASKS, 3_900, 8_000, RUN_MILLIS);
        Cell.Answer submitted = cell.submit(frozen, ID, job);
        Cell.Answer cancelled = cell.cancel(other, ID);
        double cancelledAt = record.seconds();
        if (trouble) {
            Thread.sleep(Math.max(0, (long) ((frozenAt + FREEZE_SECONDS - record.seconds()) * 1_000)));
            cell.signal(frozen, "CONT");
        }
        double calmFrom = record.seconds() + CONTACT_SECONDS;
        double goneBy = calmFrom + CANCEL_SECONDS + STOP_SECONDS;
        boolean expected = trouble ? submitted.status() == 0 : submitted.status() == 200;
        boolean acknowledged = cancelled.status() == 410 || cancelled.status() / 100 == 2;
        if (!expected || !acknowledged) {
            return 2;
        }
        Thread.sleep((long) ((goneBy + 6 - record.seconds()) * 1_000));
        record.add("GET " + ID + " at " + other.mName + " -> " + Cell.name(cell.state(other, ID)));
        long startedAfter = runs.spansOf(ID).stream().filter(it -> it.mStart > cancelledAt).count();
        long runOn = runs.spansOf(ID).stream().filter(it -> it.mEnd < 0 || it.mEnd > goneBy).count();
        record.add("the cancelling was acknowledged at %.1f; calm from %.1f; all tasks have to be gone by %.1f"
                .formatted(cancelledAt, calmFrom, goneBy));
        record.add("tasks started after the acknowledgement: " + startedAfter + "; tasks that run on: " + runOn);
        return runOn > 0 ? 1 : 0;
    }

    /** Returns the daemons that do not own the pools. */
    private static List<Cell.Node> others(Cell cell) {
        for (Store.Row row : cell.mStore.rows("hyssop-states")) {
            if (row.key().equals("!owner")) {
                String text = new String(Base64.getDecoder().decode(row.value()), StandardCharsets.ISO_8859_1);
                return cell.mNodes.stream().filter(it -> !text.contains(it.mName)).toList();
            }
        }
        return cell.mNodes;
    }
}
