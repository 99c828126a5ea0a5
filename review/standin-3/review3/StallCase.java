package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Twenty jobs, one of which takes twenty times as long as the longest run on the sheet. All
 * executors are sound and more than half empty.
 */
final class StallCase implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long LONG_CPU = 18_000;
    private static final long SMALL_CPU = 500;
    private static final long SMALL_MILLIS = 1_000;
    private static final int SMALL_JOBS = 19;
    private static final double WATCHED_SECONDS = 60;

    /** Longest run of a batch plan on the sheet of Lefain. */
    private static final long USUAL_MILLIS = 16_000;

    private static final long LONG_FACTOR = 20;
    private static final String QUEUE = "lohu930";
    private static final String LONG = "5c0e7a21d94b36f8";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        long longMillis = trouble ? LONG_FACTOR * USUAL_MILLIS : USUAL_MILLIS;
        cell.start(
                EXECUTORS,
                new Tasks(task -> task.startsWith(LONG) ? longMillis : SMALL_MILLIS, LONG_CPU),
                Cell.config(QUEUE));
        Client client = new Client(cell);
        Map<String, Integer> tasks = new LinkedHashMap<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            String id = String.format("%016x", 0xb000 + i);
            client.submit(QUEUE, id, Client.job(1, 1, SMALL_CPU, SMALL_MILLIS));
            tasks.put(id, 1);
            Sleep.millis(50);
        }
        // One task for each executor, which takes less than a third of it.
        ObjectNode job = Client.job(1, EXECUTORS, LONG_CPU, longMillis);
        ((ObjectNode) job.withArray("Phases").get(0)).put("AntiAffinity", 1);
        client.submit(QUEUE, LONG, job);
        tasks.put(LONG, EXECUTORS);
        double end = cell.mRecord.seconds();
        cell.mRecord.add("end of the traffic; tasks of %s take %d s", LONG, longMillis / 1_000);
        double from = end + IdleWatch.FINISH_SECONDS;
        double idle = new IdleWatch(cell, tasks).run(from, from + WATCHED_SECONDS);
        cell.mRecord.add(
                "%s: %d starts of %d tasks, %d ended done, %d ended stopped, GET -> %s",
                LONG,
                cell.mRuns.startsOf(LONG),
                EXECUTORS,
                cell.mRuns.doneTasks(LONG),
                cell.mRuns.endsOf(LONG, "stopped"),
                client.state(QUEUE, LONG));
        cell.mRecord.add("logs: " + cell.countInLogs("stalled"));
        return idle < IdleWatch.MAX_IDLE_SECONDS;
    }
}
