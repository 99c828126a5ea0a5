package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * A job of two steps. While the first step runs, the operator removes the route of its queue. Then
 * all machines of the system are stopped and started in turn.
 */
final class RouteCase implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long TASK_CPU = 4_000;
    private static final long FIRST_MILLIS = 46_000;
    private static final long SECOND_MILLIS = 1_000;
    private static final long GAP_MILLIS = 1_300;
    private static final int TASKS = 4;
    private static final double WATCHED_SECONDS = 35;
    private static final String QUEUE = "lohu930";
    private static final String OTHER = "keti412";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String OTHER_JOB = "00000000000000b1";

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        String first = JOB + ".0.0.";
        cell.start(
                EXECUTORS,
                new Tasks(task -> task.startsWith(first) ? FIRST_MILLIS : SECOND_MILLIS, TASK_CPU),
                Cell.config(OTHER, QUEUE));
        Client client = new Client(cell);
        ObjectNode job = Client.job(2, TASKS / 2, TASK_CPU, 5_000);
        ((ObjectNode) job.withArray("Phases").get(1)).putArray("After").add(0);
        client.submit(QUEUE, JOB, job);
        double end = cell.mRecord.seconds();
        Sleep.millis(3_000);
        cell.mRecord.add("GET %s/%s -> %s", QUEUE, JOB, client.state(QUEUE, JOB));
        if (trouble) {
            cell.publish(Cell.config(OTHER));
            cell.mRecord.add("a configuration without the route of the queue is acknowledged");
        }
        Sleep.millis(4_000);
        for (Cell.Daemon daemon : cell.mDaemons) {
            cell.mRecord.add("SIGTERM to %s, which is started again", daemon.mName);
            daemon.terminate();
            daemon.start();
            Sleep.millis(GAP_MILLIS);
        }
        double from = Math.max(end + IdleWatch.FINISH_SECONDS, cell.mRecord.seconds());
        double idle = new IdleWatch(cell, Map.of(JOB, TASKS)).run(from, from + WATCHED_SECONDS);
        cell.mRecord.add("%d of %d tasks have ended done", cell.mRuns.doneTasks(JOB), TASKS);
        client.submit(OTHER, OTHER_JOB, Client.job(1, 1, TASK_CPU, SECOND_MILLIS));
        Sleep.millis(3_000);
        cell.mRecord.add("a job on the other queue: %d start", cell.mRuns.startsOf(OTHER_JOB));
        return idle < IdleWatch.MAX_IDLE_SECONDS;
    }
}
