package review3;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cell that has handled the jobs of some days, whose rows are still in the store. Then the
 * process that last wrote to the store under a condition is killed and started again.
 */
final class HistoryCase implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long TASK_CPU = 500;
    private static final long TASK_MILLIS = 500;

    /** Jobs handled so far: ten days of the target of 25,000 a day. */
    private static final int HANDLED_JOBS = 250_000;

    private static final long HANDLING_MILLIS = 5_000;
    private static final int SMALL_JOBS = 5;
    private static final double WATCHED_SECONDS = 30;
    private static final String QUEUE = "lohu930";
    private static final String SAMPLE = "5c0e7a21d94b36f8";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        cell.start(EXECUTORS, Tasks.of(TASK_MILLIS, TASK_CPU), Cell.config(QUEUE));
        Client client = new Client(cell);
        client.submit(QUEUE, SAMPLE, Client.job(1, 1, TASK_CPU, TASK_MILLIS));
        // The owner replaces the row of a finished job by a mark within some seconds.
        Sleep.millis(6_000);
        cell.mRecord.add("GET %s -> %s", SAMPLE, client.state(QUEUE, SAMPLE));
        cell.mRecord.add("rows of that job: %s", cell.mStore.describe(SAMPLE));
        cell.mStore.repeat(SAMPLE, HANDLED_JOBS, HANDLING_MILLIS);
        cell.mRecord.add("the store has the rows of %d more such jobs", HANDLED_JOBS);
        Sleep.millis(5_000);
        if (trouble) {
            Cell.Daemon owner = cell.owner().orElseThrow();
            cell.mRecord.add("kill %s, which is started again", owner.mName);
            owner.kill();
            Sleep.millis(1_000);
            owner.start();
        }
        Map<String, Integer> tasks = new LinkedHashMap<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            String id = String.format("%016x", 0xb000 + i);
            client.submit(QUEUE, id, Client.job(1, 1, TASK_CPU, TASK_MILLIS));
            tasks.put(id, 1);
            Sleep.millis(100);
        }
        double end = cell.mRecord.seconds();
        cell.mRecord.add("end of the traffic");
        double from = end + IdleWatch.FINISH_SECONDS;
        double idle = new IdleWatch(cell, tasks).run(from, from + WATCHED_SECONDS);
        tasks.keySet()
                .forEach(
                        id ->
                                cell.mRecord.add(
                                        "GET %s -> %s, %d starts",
                                        id, client.state(QUEUE, id), cell.mRuns.startsOf(id)));
        cell.mRecord.add(
                "logs: "
                        + cell.countInLogs(
                                "\"owns pools\"", "\"pools open\"", "OutOfMemoryError"));
        return idle < IdleWatch.MAX_IDLE_SECONDS;
    }
}
