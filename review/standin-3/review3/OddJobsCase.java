package review3;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Small jobs, and among them some jobs of another kind. Only the small ones are judged. The
 * executors are sound and nearly empty.
 *
 * @param oddJobs jobs of the other kind, with the disruption or without it
 * @param taskMillis duration of every task, in milliseconds
 */
record OddJobsCase(Function<Boolean, List<ObjectNode>> oddJobs, long taskMillis)
        implements Main.Case {
    private static final int EXECUTORS = 12;
    private static final long TASK_CPU = 500;
    private static final int SMALL_JOBS = 20;
    private static final int JOBS_BEFORE = 10;
    private static final int SMALL_ATTEMPTS = 3;
    private static final int ASKED_JOBS = 5;
    private static final double WATCHED_SECONDS = 30;
    private static final String QUEUE = "lohu930";

    /** The largest job of the site file of Tsubame: 3 steps of 150 tasks. */
    private static final int STEP_JOB_TASKS = 450;

    private static final int USUAL_STEPS = 3;

    /** Times of a schedule of one a second for two days. */
    private static final int DUE_TIMES = 172_800;

    private static final long INTERVAL_MILLIS = 1_000;

    /** Largest gang that a daemon accepts (SubmissionDecoder). */
    private static final int GANG_TASKS = 100_000;

    /** Share 0.05 of 25.65 jobs a second for 3 s. */
    private static final int GANGS = 4;

    private static final int USUAL_GANG_TASKS = 32;

    /** Returns the case of a job with as many steps as tasks, or with a usual number of steps. */
    static OddJobsCase manySteps() {
        return new OddJobsCase(
                trouble -> {
                    int steps = trouble ? STEP_JOB_TASKS : USUAL_STEPS;
                    return List.of(Client.job(steps, STEP_JOB_TASKS / steps, TASK_CPU, 0));
                },
                500);
    }

    /** Returns the case of a scheduled job that is handed in two days after its start, or at once. */
    static OddJobsCase lateSchedule() {
        return new OddJobsCase(
                trouble -> {
                    long lateMillis = trouble ? DUE_TIMES * INTERVAL_MILLIS : 0;
                    ObjectNode job = Client.job(1, 1, 100, 100);
                    job.put("RepeatCount", DUE_TIMES)
                            .put("StartMs", System.currentTimeMillis() - lateMillis)
                            .put("IntervalMs", INTERVAL_MILLIS);
                    return List.of(job);
                },
                100);
    }

    /** Returns the case of gangs that have no room in the service, or of usual ones. */
    static OddJobsCase hugeGangs() {
        return new OddJobsCase(
                trouble -> {
                    ObjectNode job =
                            Client.job(1, trouble ? GANG_TASKS : USUAL_GANG_TASKS, 1_000, 500);
                    ((ObjectNode) job.withArray("Phases").get(0)).put("Gang", trouble);
                    return Collections.nCopies(GANGS, job);
                },
                500);
    }

    @Override
    public boolean run(Cell cell, boolean trouble) throws Exception {
        cell.start(EXECUTORS, Tasks.of(taskMillis, TASK_CPU), Cell.config(QUEUE));
        Client client = new Client(cell);
        Map<String, Integer> tasks = new LinkedHashMap<>();
        int odd = 0;
        for (int i = 0; i < SMALL_JOBS; i++) {
            if (i == JOBS_BEFORE) {
                Sleep.millis(4_000);
                for (ObjectNode job : oddJobs.apply(trouble)) {
                    String id = String.format("%016x", 0xa000 + odd++);
                    String text = job.toString();
                    cell.mRecord.add(
                            "job %s of %d bytes: %s",
                            id, text.length(), text.substring(0, Math.min(150, text.length())));
                    client.submit(QUEUE, id, job);
                }
            }
            String id = String.format("%016x", 0xb000 + i);
            ObjectNode small = Client.job(1, 1, TASK_CPU, taskMillis);
            if (!client.trySubmit(QUEUE, id, small, SMALL_ATTEMPTS)) {
                cell.mRecord.add("no daemon has accepted %s; the clients give up", id);
                break;
            }
            tasks.put(id, 1);
            Sleep.millis(100);
        }
        double end = cell.mRecord.seconds();
        cell.mRecord.add("end of the traffic, %d small jobs accepted", tasks.size());
        double from = end + IdleWatch.FINISH_SECONDS;
        double idle = new IdleWatch(cell, tasks).run(from, from + WATCHED_SECONDS);
        long started = tasks.keySet().stream().filter(it -> cell.mRuns.startsOf(it) > 0).count();
        cell.mRecord.add("%d of %d small jobs have started", started, tasks.size());
        Map<String, Integer> states = new TreeMap<>();
        List<String> ids = List.copyOf(tasks.keySet());
        for (String id : ids.subList(ids.size() - ASKED_JOBS, ids.size())) {
            states.merge(client.state(QUEUE, id), 1, Integer::sum);
        }
        cell.mRecord.add("GET of the last %d of them: %s", ASKED_JOBS, states);
        for (int i = 0; i < odd; i++) {
            String id = String.format("%016x", 0xa000 + i);
            cell.mRecord.add("starts of %s: %d", id, cell.mRuns.startsOf(id));
        }
        cell.mRecord.add(
                "logs: "
                        + cell.countInLogs(
                                "\"owns pools\"", "\"no longer owns pools\"", "OutOfMemoryError"));
        return idle < IdleWatch.MAX_IDLE_SECONDS;
    }
}
