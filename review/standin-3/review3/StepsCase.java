package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Small jobs, and among them one job of as many tasks as the largest one on the sheet, each in a
 * step of its own. The executors are sound and nearly empty.
 */
final class StepsCase implements Main.Case {
    private static final int EXECUTORS = 12;

    /** The largest job of the site file of Tsubame: 3 steps of 150 tasks. */
    private static final int LARGE_TASKS = 450;

    private static final int USUAL_STEPS = 3;
    private static final int SMALL_JOBS = 20;
    private static final int JOBS_BEFORE = 10;
    private static final long TASK_MILLIS = 500;
    private static final long TASK_CPU = 500;
    private static final double WATCHED_SECONDS = 30;
    private static final String QUEUE = "lohu930";
    private static final String LARGE = "aaaaaaaaaaaaaaaa";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        cell.start(EXECUTORS, Tasks.of(TASK_MILLIS, TASK_CPU), Cell.config(QUEUE));
        Client client = new Client(cell);
        Map<String, Integer> tasks = new LinkedHashMap<>();
        for (int i = 0; i < SMALL_JOBS; i++) {
            if (i == JOBS_BEFORE) {
                Sleep.millis(4_000);
                int steps = trouble ? LARGE_TASKS : USUAL_STEPS;
                ObjectNode large = Client.job(steps, LARGE_TASKS / steps, TASK_CPU, 0);
                cell.mRecord.add(
                        "job %s: %d steps, %d bytes", LARGE, steps, Json.encode(large).length);
                client.submit(QUEUE, LARGE, large);
                tasks.put(LARGE, LARGE_TASKS);
            }
            String id = String.format("%016x", 0xb000 + i);
            client.submit(QUEUE, id, Client.job(1, 1, TASK_CPU, TASK_MILLIS));
            tasks.put(id, 1);
            Sleep.millis(100);
        }
        double end = cell.mRecord.seconds();
        cell.mRecord.add("end of the traffic, %d jobs accepted", tasks.size());
        double from = end + IdleWatch.FINISH_SECONDS;
        double idle = new IdleWatch(cell, tasks).run(from, from + WATCHED_SECONDS);
        Map<String, Integer> states = new TreeMap<>();
        for (String id : tasks.keySet()) {
            String state = client.state(QUEUE, id);
            states.merge(state, 1, Integer::sum);
            cell.mRecord.add(
                    "GET %s -> %s, %d starts, %d tasks done",
                    id, state, cell.mRuns.startsOf(id), cell.mRuns.doneTasks(id));
        }
        cell.mRecord.add("states of the jobs: " + states);
        cell.mRecord.add("logs: " + cell.countInLogs("\"owns pools\"", "\"no longer owns pools\""));
        return idle < IdleWatch.MAX_IDLE_SECONDS;
    }
}
