package org.hyssoprouter.bench.placement;

import io.vavr.control.Option;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.hyssoprouter.bench.MeasureCase;
import org.hyssoprouter.bench.MeasureOptions;
import org.hyssoprouter.internal.journal.ShardEvent.JobAccepted;
import org.hyssoprouter.internal.placement.Assignment;
import org.hyssoprouter.internal.placement.Fleet;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.JobSchedulerOutput;
import org.hyssoprouter.internal.placement.PackPolicy;
import org.hyssoprouter.internal.placement.PlacementAction;
import org.hyssoprouter.internal.placement.PlacementPolicy;
import org.hyssoprouter.internal.placement.QuotaLookup;
import org.hyssoprouter.internal.placement.SpreadPolicy;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Measures the time of a placement decision in memory on a shard that stays nearly full. In each
 * round one task ends, a job of one task arrives, and the time until it is placed is recorded.
 *
 * @since 0.1
 */
public final class DecisionsCase implements MeasureCase {
    private static final int[] WORKERS = {30, 300, 2_200};
    private static final double TASKS_PER_WORKER = 10_000 / 2_200.0;
    private static final int WARM_UP_DECISIONS = 20_000;
    private static final int MEASURED_DECISIONS = 50_000;
    private static final int CORES = 64;
    private static final long MEMORY_BYTES = 256 * SyntheticLoad.GIB;
    // Task sizes vary by up to 10 %, so that about five tasks fill a worker.
    private static final Room MEAN_TASK_ROOM = new Room(12_000, 48 * SyntheticLoad.GIB, 0);
    private static final Room QUOTA = new Room(1L << 50, 1L << 60, 1_000_000);
    private static final QuotaLookup QUOTAS = customer -> Option.some(QUOTA);

    /** Creates the measurement. */
    public DecisionsCase() {}

    @Override
    public String name() {
        return "decisions";
    }

    @Override
    public String description() {
        return "placement decisions per second with p50 and p99 latency, against first fit";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (int workers : WORKERS) {
            rows.add(measurePolicy("first-fit", new FirstFitPolicy(), workers, options.seed()));
            rows.add(measurePolicy("pack", new PackPolicy(), workers, options.seed()));
            rows.add(measurePolicy("spread", new SpreadPolicy(), workers, options.seed()));
            rows.add(measureScheduler(workers, options.seed()));
        }
        out.printf(
                "%-10s %8s %8s %12s %10s %10s %10s %14s%n",
                "what",
                "workers",
                "tasks",
                "decisions/s",
                "p50 us",
                "p99 us",
                "max us",
                "heap B/task");
        for (Row row : rows) {
            out.printf(
                    "%-10s %8d %8d %12d %10.1f %10.1f %10.1f %14d%n",
                    row.what(),
                    row.workers(),
                    row.tasks(),
                    row.decisionsPerSecond(),
                    row.p50Micros(),
                    row.p99Micros(),
                    row.maxMicros(),
                    row.heapBytesPerTask());
        }
        out.println(MessageCodec.json().writeValueAsString(new Report(options.seed(), rows)));
        return true;
    }

    private static Room randomRoom(Random random) {
        double factor = 0.9 + random.nextDouble() / 5;
        return new Room(
                (long) (MEAN_TASK_ROOM.cpuMillis() * factor),
                (long) (MEAN_TASK_ROOM.memoryBytes() * factor),
                0);
    }

    private static Row measurePolicy(String what, PlacementPolicy policy, int workers, long seed) {
        Random random = new Random(seed);
        long emptyBytes = usedBytes();
        Fleet fleet = new Fleet();
        SyntheticLoad.addWorkers(fleet, workers, CORES, MEMORY_BYTES);
        int tasks = (int) (workers * TASKS_PER_WORKER);
        List<Assignment> running = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            running.addAll(
                    SyntheticLoad.placeOne(
                            policy, fleet, SyntheticLoad.attempt("fill", i), randomRoom(random)));
        }
        long heapBytes = (usedBytes() - emptyBytes) / Math.max(1, tasks);
        Histogram nanos = new Histogram(3);
        int placed = running.size();
        for (int i = 0; i < WARM_UP_DECISIONS + MEASURED_DECISIONS; i++) {
            Assignment ended = removeRandom(running, random);
            fleet.release(ended.worker(), ended.attempt());
            Room room = randomRoom(random);
            AttemptId attempt = SyntheticLoad.attempt("task", i);
            long before = System.nanoTime();
            List<Assignment> chosen = SyntheticLoad.placeOne(policy, fleet, attempt, room);
            long after = System.nanoTime();
            if (i >= WARM_UP_DECISIONS) {
                nanos.recordValue(after - before);
            }
            running.addAll(chosen.isEmpty() ? restore(fleet, ended) : chosen);
        }
        return toRow(what, workers, placed, nanos, heapBytes);
    }

    /** Restores the ended assignment if the new task was not placed, to keep the load constant. */
    private static List<Assignment> restore(Fleet fleet, Assignment ended) {
        fleet.hold(ended.worker(), ended.attempt(), ended.room());
        return List.of(ended);
    }

    private static <T> T removeRandom(List<T> list, Random random) {
        int index = random.nextInt(list.size());
        T last = list.remove(list.size() - 1);
        return index == list.size() ? last : list.set(index, last);
    }

    /** Measures the whole scheduler: accept the job, place it, record events, return the start. */
    private static Row measureScheduler(int workers, long seed) {
        Random random = new Random(seed);
        long emptyBytes = usedBytes();
        JobScheduler scheduler = new JobScheduler("s");
        SyntheticLoad.addWorkers(scheduler.fleet(), workers, CORES, MEMORY_BYTES);
        int tasks = (int) (workers * TASKS_PER_WORKER);
        Deque<AttemptId> running = new ArrayDeque<>();
        for (int i = 0; i < tasks; i++) {
            submit(scheduler, "fill" + i, randomRoom(random));
        }
        scheduler.place(1, 1, tasks, QUOTAS);
        int placed = markAllRunning(scheduler, running);
        long heapBytes = (usedBytes() - emptyBytes) / Math.max(1, tasks);
        Histogram nanos = new Histogram(3);
        for (int i = 0; i < WARM_UP_DECISIONS + MEASURED_DECISIONS; i++) {
            long now = 1L + i / 10;
            scheduler.endAttempt(running.remove(), TaskReport.State.SUCCEEDED, "", now, now);
            scheduler.takeOutput();
            long before = System.nanoTime();
            submit(scheduler, "task" + i, randomRoom(random));
            scheduler.place(now, now, 1, QUOTAS);
            markAllRunning(scheduler, running);
            long after = System.nanoTime();
            if (i >= WARM_UP_DECISIONS) {
                nanos.recordValue(after - before);
            }
        }
        return toRow("whole book", workers, placed, nanos, heapBytes);
    }

    private static void submit(JobScheduler scheduler, String id, Room room) {
        JobSpec spec =
                new JobSpec(id, "c", WorkKind.BATCH, TrafficClass.NORMAL, 1, room, 0, 3, null, "x");
        scheduler.accept(new JobAccepted(spec, 1), 1);
    }

    private static int markAllRunning(JobScheduler scheduler, Deque<AttemptId> running) {
        JobSchedulerOutput output = scheduler.takeOutput();
        for (PlacementAction action : output.actions()) {
            running.add(action.attempt());
            scheduler.markRunning(action.attempt());
        }
        return output.actions().size();
    }

    private static Row toRow(
            String what, int workers, int tasks, Histogram nanos, long heapBytesPerTask) {
        double mean = nanos.getMean();
        return new Row(
                what,
                workers,
                tasks,
                Math.round(1e9 / mean),
                nanos.getValueAtPercentile(50) / 1e3,
                nanos.getValueAtPercentile(99) / 1e3,
                nanos.getMaxValue() / 1e3,
                heapBytesPerTask);
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * Results of one policy at one fleet size.
     *
     * @param heapBytesPerTask heap bytes for each task, including the data of the workers
     */
    private record Row(
            String what,
            int workers,
            int tasks,
            long decisionsPerSecond,
            double p50Micros,
            double p99Micros,
            double maxMicros,
            long heapBytesPerTask) {}

    private record Report(long seed, List<Row> rows) {}
}
