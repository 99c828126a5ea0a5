package org.hyssoprouter.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.hyssoprouter.bench.history.History;
import org.hyssoprouter.bench.history.HistoryChecker;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.worker.TaskEvent;
import org.hyssoprouter.standin.worker.WorkerHistory;

/**
 * Runs requests and jobs of two customers on a cell while the owner of a shard is killed.
 *
 * @since 0.1
 */
public final class Demo {
    private static final int REQUESTS = 600;
    private static final int CALLERS = 12;
    private static final int MAX_ATTEMPTS = 40;
    private static final long JOB_TIMEOUT_MILLIS = 40_000;
    private static final Room TASK_ROOM = new Room(1_000, 1L << 30, 0);

    private final Cell mCell;
    private final PrintStream mOut;
    private final LoadGenerator mLoadGenerator;
    private final Map<String, Long> mSubmittedWallMillis = new HashMap<>();

    private Demo(Cell cell, PrintStream out) {
        mCell = cell;
        mOut = out;
        mLoadGenerator = new LoadGenerator(cell, 1, CALLERS, MAX_ATTEMPTS);
    }

    /** Takes no arguments; exits with 0 if no guarantee was violated, otherwise with 1. */
    public static void main(String[] args) throws Exception {
        boolean passed = false;
        System.out.println("starting the stand-ins and 8 daemons");
        try (Cell cell = Cell.start(plan())) {
            Demo demo = new Demo(cell, System.out);
            passed = demo.run();
            demo.mLoadGenerator.close();
        } catch (IOException | RuntimeException e) {
            // Not rethrown: the load generator threads would keep the process alive.
            System.getLogger(Demo.class.getName()).log(System.Logger.Level.ERROR, "demo failed", e);
        }
        System.exit(passed ? 0 : 1);
    }

    private static CellPlan plan() {
        return new CellPlan()
                .domain("south-a", "south", 3, 4)
                .domain("south-b", "south", 3, 4)
                .domain("north-a", "north", 2, 4);
    }

    private boolean run() throws Exception {
        submit("desk-service", WorkKind.SERVICE, 6, 0);
        submit("night-batch", WorkKind.BATCH, 40, 1_500);
        submit("season-gang", WorkKind.GANG, 8, 2_000);
        List<Future<CallerAnswer>> pending = new ArrayList<>();
        for (int i = 0; i < REQUESTS / 2; i++) {
            pending.add(mLoadGenerator.send(request(i)));
        }
        DaemonProcess owner = mCell.awaitOwner("south-a");
        mOut.printf(
                "killing %s, the owner of south-a (process %d)%n",
                owner.name(), owner.process().id());
        owner.process().kill();
        for (int i = REQUESTS / 2; i < REQUESTS; i++) {
            pending.add(mLoadGenerator.send(request(i)));
        }
        List<CallerAnswer> last = new ArrayList<>();
        for (Future<CallerAnswer> answer : pending) {
            last.add(answer.get());
        }
        boolean jobsDone = awaitJobs();
        return report(last, jobsDone);
    }

    private void submit(String id, WorkKind kind, int taskCount, long runTimeMillis) {
        String customer =
                kind == WorkKind.GANG ? CellConfig.SECOND_CUSTOMER : CellConfig.FIRST_CUSTOMER;
        JobSpec spec =
                new JobSpec(
                        id,
                        customer,
                        kind,
                        TrafficClass.NORMAL,
                        taskCount,
                        TASK_ROOM,
                        runTimeMillis,
                        5,
                        null,
                        "");
        mSubmittedWallMillis.put(id, System.currentTimeMillis());
        mCell.submit(spec);
    }

    private static CallerRequest request(int index) {
        String customer = index % 3 == 0 ? CellConfig.SECOND_CUSTOMER : CellConfig.FIRST_CUSTOMER;
        return index % 2 == 0
                ? CallerRequest.idempotent("check-" + index, customer, 20)
                : CallerRequest.atMostOnce("booking-" + index, customer, 20);
    }

    private boolean awaitJobs() {
        try {
            Cell.await("completion of the jobs", JOB_TIMEOUT_MILLIS, this::areJobsDone);
            return true;
        } catch (IllegalStateException e) {
            mOut.println(e.getMessage());
            return false;
        }
    }

    private boolean areJobsDone() {
        return mSubmittedWallMillis.keySet().stream()
                .allMatch(id -> mCell.findJob(id).map(Demo::isDone).getOrElse(false));
    }

    private static boolean isDone(JobView job) {
        JobState expected =
                job.spec().kind() == WorkKind.SERVICE ? JobState.RUNNING : JobState.SUCCEEDED;
        return job.state() == expected;
    }

    private boolean report(List<CallerAnswer> last, boolean jobsDone) {
        History history = mCell.history(mLoadGenerator.answers());
        List<String> violations = HistoryChecker.findViolations(history);
        long settled = last.stream().filter(CallerAnswer::isSettled).count();
        Map<String, Long> verdicts =
                last.stream()
                        .collect(
                                Collectors.groupingBy(
                                        answer -> String.valueOf(answer.verdict()),
                                        TreeMap::new,
                                        Collectors.counting()));
        mOut.println();
        ReportFormatter.printRow(mOut, "requests asked", last.size());
        ReportFormatter.printRow(
                mOut, "answered", last.stream().filter(CallerAnswer::isAnswered).count());
        ReportFormatter.printRow(mOut, "final verdicts", verdicts);
        ReportFormatter.printRow(mOut, "sendings, with repeats", history.answers().size());
        ReportFormatter.printRow(mOut, "request waiting time", formatRequestWaits(history));
        ReportFormatter.printRow(mOut, "tasks placed", taskStarts(history).size());
        ReportFormatter.printRow(mOut, "task waiting time", formatTaskWaits(history));
        ReportFormatter.printRow(mOut, "jobs at their goal", jobsDone ? "3 of 3" : "not all");
        ReportFormatter.printRow(mOut, "overfills", countOverfills(history));
        ReportFormatter.printRow(mOut, "breaches of promises", violations.size());
        violations.forEach(violation -> mOut.println("    " + violation));
        boolean passed = violations.isEmpty() && jobsDone && settled == last.size();
        mOut.println(passed ? "the promises held" : "NOT HELD");
        return passed;
    }

    private static long countOverfills(History history) {
        long workers = history.workers().stream().mapToLong(WorkerHistory::overfills).sum();
        return workers + history.executors().stream().mapToLong(ExecutorHistory::overfills).sum();
    }

    /** Formats the time from the first attempt to send a request to the start of its first run. */
    private static String formatRequestWaits(History history) {
        Map<String, Long> sent = new HashMap<>();
        for (CallerAnswer answer : history.answers()) {
            sent.merge(answer.request().key(), answer.sentWallMillis(), Math::min);
        }
        List<Long> waits = new ArrayList<>();
        for (ExecutorHistory executor : history.executors()) {
            for (ExecutorHistory.Run run : executor.runs()) {
                Long sentMillis = sent.remove(run.key());
                if (sentMillis != null) {
                    waits.add(run.wallMillis() - sentMillis);
                }
            }
        }
        return ReportFormatter.formatMedianAndP99(waits);
    }

    private static List<TaskEvent> taskStarts(History history) {
        return history.workers().stream()
                .flatMap(worker -> worker.events().stream())
                .filter(event -> event.event() == TaskEvent.Kind.STARTED)
                .toList();
    }

    private String formatTaskWaits(History history) {
        Set<String> jobs = mSubmittedWallMillis.keySet();
        List<Long> waits =
                taskStarts(history).stream()
                        .filter(event -> event.attempt() == 1 && jobs.contains(event.job()))
                        .map(event -> event.wallMillis() - submittedWallMillis(event.job()))
                        .toList();
        return ReportFormatter.formatMedianAndP99(waits);
    }

    private long submittedWallMillis(String job) {
        return mSubmittedWallMillis.getOrDefault(job, 0L);
    }
}
