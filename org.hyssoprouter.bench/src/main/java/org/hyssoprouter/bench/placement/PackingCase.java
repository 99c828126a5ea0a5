package org.hyssoprouter.bench.placement;

import io.vavr.control.Option;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hyssoprouter.bench.MeasureCase;
import org.hyssoprouter.bench.MeasureOptions;
import org.hyssoprouter.internal.journal.ShardEvent.JobAccepted;
import org.hyssoprouter.internal.placement.Assignment;
import org.hyssoprouter.internal.placement.Fleet;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.internal.placement.PackPolicy;
import org.hyssoprouter.internal.placement.PlacementAction;
import org.hyssoprouter.internal.placement.PlacementPolicy;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.util.MessageCodec;

/**
 * Measures how much of 30 workers tasks of skewed sizes fill, and how often actual usage exceeds
 * the capacity of a worker if tasks declare wrong sizes.
 *
 * @since 0.1
 */
public final class PackingCase implements MeasureCase {
    private static final int WORKERS = 30;
    private static final int OFFERED_TASKS = 3_000;
    private static final int SEEDS = 10;
    private static final int COMMANDS = 20;
    private static final int ROUNDS = 200;
    private static final Room QUOTA = new Room(1L << 50, 1L << 60, 1_000_000);

    /** Creates the measurement. */
    public PackingCase() {}

    @Override
    public String name() {
        return "packing";
    }

    @Override
    public String description() {
        return "capacity used with skewed sizes, and overfills with wrong sizes, against first fit";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        List<Row> rows = new ArrayList<>();
        for (WorkerSize size :
                List.of(new WorkerSize("16c/32G", 16, 32), new WorkerSize("64c/256G", 64, 256))) {
            rows.add(measureSkewed("first-fit", new FirstFitPolicy(), size, options.seed()));
            rows.add(measureSkewed("best fit", new PackPolicy(), size, options.seed()));
        }
        out.printf(
                "skewed sizes, %d workers, %d tasks offered, mean of %d seeds%n",
                WORKERS, OFFERED_TASKS, SEEDS);
        out.printf(
                "%-10s %-10s %12s %8s %8s %12s %10s%n",
                "policy", "workers", "until first", "cpu %", "mem %", "accel. tasks", "tasks");
        for (Row row : rows) {
            out.printf(
                    "%-10s %-10s %12.1f %8.1f %8.1f %12.1f %10.1f%n",
                    row.policy(),
                    row.workers(),
                    row.tasksUntilFirstMiss(),
                    row.cpuPercent(),
                    row.memoryPercent(),
                    row.acceleratorTasks(),
                    row.tasks());
        }
        List<MisdeclaredRow> wrong =
                List.of(
                        measureMisdeclaredFirstFit(options.seed()),
                        measureMisdeclaredScheduler("best fit, declared", false, options.seed()),
                        measureMisdeclaredScheduler("best fit, learned", true, options.seed()));
        out.printf("wrong sizes, %d commands off by up to 4 times, %d rounds%n", COMMANDS, ROUNDS);
        out.printf("%-22s %16s %12s%n", "sizes", "overfilled w-rounds", "tasks run");
        for (MisdeclaredRow row : wrong) {
            out.printf("%-22s %16d %12d%n", row.sizes(), row.overfilled(), row.tasks());
        }
        out.println(
                MessageCodec.json().writeValueAsString(new Report(options.seed(), rows, wrong)));
        return true;
    }

    private static Row measureSkewed(
            String name, PlacementPolicy policy, WorkerSize size, long seed) {
        double[] sums = new double[5];
        for (int i = 0; i < SEEDS; i++) {
            Random random = new Random(seed * 1_000 + i);
            Fleet fleet = new Fleet();
            SyntheticLoad.addWorkers(fleet, WORKERS, size.cores(), size.gib() * SyntheticLoad.GIB);
            FillResult filled = fillFleet(policy, fleet, size, random);
            sums[0] += filled.mTasksUntilFirstMiss;
            sums[1] += 100.0 * filled.mUsed.cpuMillis() / (1_000L * WORKERS * size.cores());
            sums[2] +=
                    100.0 * filled.mUsed.memoryBytes() / (SyntheticLoad.GIB * WORKERS * size.gib());
            sums[3] += filled.mUsed.accelerators();
            sums[4] += filled.mTasks;
        }
        return new Row(
                name,
                size.name(),
                sums[0] / SEEDS,
                sums[1] / SEEDS,
                sums[2] / SEEDS,
                sums[3] / SEEDS,
                sums[4] / SEEDS);
    }

    private static FillResult fillFleet(
            PlacementPolicy policy, Fleet fleet, WorkerSize size, Random random) {
        FillResult filled = new FillResult();
        for (int i = 0; i < OFFERED_TASKS; i++) {
            Room room =
                    SyntheticLoad.skewedRoom(random, size.cores(), size.gib() * SyntheticLoad.GIB);
            if (!SyntheticLoad.placeOne(policy, fleet, SyntheticLoad.attempt("j", i), room)
                    .isEmpty()) {
                filled.mUsed = filled.mUsed.plus(room);
                filled.mTasks++;
            } else if (filled.mTasksUntilFirstMiss == 0) {
                filled.mTasksUntilFirstMiss = i;
            }
        }
        return filled;
    }

    private static MisdeclaredRow measureMisdeclaredFirstFit(long seed) {
        MisdeclaredCommands commands = new MisdeclaredCommands(seed);
        Fleet fleet = new Fleet();
        SyntheticLoad.addWorkers(fleet, WORKERS, 16, 32 * SyntheticLoad.GIB);
        TrueUsage usage = new TrueUsage();
        FirstFitPolicy policy = new FirstFitPolicy();
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < COMMANDS; i++) {
                AttemptId attempt = SyntheticLoad.attempt("c" + i, round);
                Room declared = commands.mDeclared.get(i);
                for (Assignment assignment :
                        SyntheticLoad.placeOne(policy, fleet, attempt, declared)) {
                    usage.start(attempt, assignment.worker(), commands.mTrue.get(i));
                }
            }
            usage.countOverfilledWorkers();
            for (AttemptId ended : usage.pickRandomSeventh(commands.mRandom)) {
                fleet.release(usage.end(ended), ended);
            }
        }
        return new MisdeclaredRow("first-fit, declared", usage.mOverfilled, usage.mStarted);
    }

    /**
     * Runs the scheduler, which learns actual sizes only if the usage of ended tasks is reported.
     */
    private static MisdeclaredRow measureMisdeclaredScheduler(
            String name, boolean reportsUsage, long seed) {
        MisdeclaredCommands commands = new MisdeclaredCommands(seed);
        JobScheduler scheduler = new JobScheduler("s");
        SyntheticLoad.addWorkers(scheduler.fleet(), WORKERS, 16, 32 * SyntheticLoad.GIB);
        TrueUsage usage = new TrueUsage();
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < COMMANDS; i++) {
                scheduler.accept(new JobAccepted(commands.spec(i, round), 1), round);
            }
            scheduler.place(round, round, 1_000, customer -> Option.some(QUOTA));
            for (PlacementAction action : scheduler.takeOutput().actions()) {
                String job = action.attempt().task().job();
                int command = Integer.parseInt(job.substring(1, job.indexOf('-')));
                usage.start(action.attempt(), action.worker(), commands.mTrue.get(command));
                scheduler.markRunning(action.attempt());
            }
            usage.countOverfilledWorkers();
            for (AttemptId ended : usage.pickRandomSeventh(commands.mRandom)) {
                Room used = usage.mRooms.getOrDefault(ended, Room.NONE);
                Room peak = reportsUsage ? used : Room.NONE;
                usage.end(ended);
                scheduler.endAttempt(ended, TaskReport.State.SUCCEEDED, peak, "", round, round);
            }
            scheduler.takeOutput();
        }
        return new MisdeclaredRow(name, usage.mOverfilled, usage.mStarted);
    }

    private record WorkerSize(String name, int cores, long gib) {}

    private static final class FillResult {
        private Room mUsed = Room.NONE;
        private int mTasks;
        private int mTasksUntilFirstMiss;
    }

    /** Commands whose actual sizes differ from the declared ones by a factor of 1/4 to 4. */
    private static final class MisdeclaredCommands {
        private final Random mRandom;
        private final List<Room> mDeclared = new ArrayList<>();
        private final List<Room> mTrue = new ArrayList<>();

        MisdeclaredCommands(long seed) {
            mRandom = new Random(seed);
            for (int i = 0; i < COMMANDS; i++) {
                Room room = new Room(500 + mRandom.nextInt(2_500), SyntheticLoad.GIB * 2, 0);
                double factor = Math.pow(4, 2 * mRandom.nextDouble() - 1);
                mDeclared.add(room);
                mTrue.add(
                        new Room(
                                (long) (room.cpuMillis() * factor),
                                (long) (room.memoryBytes() * factor),
                                0));
            }
        }

        JobSpec spec(int command, int round) {
            return new JobSpec(
                    "c" + command + "-" + round,
                    "c",
                    WorkKind.BATCH,
                    TrafficClass.NORMAL,
                    1,
                    mDeclared.get(command),
                    0,
                    3,
                    null,
                    "command" + command);
        }
    }

    /** Tracks the actual usage of the running attempts on each worker. */
    private static final class TrueUsage {
        private final Map<AttemptId, Room> mRooms = new HashMap<>();
        private final Map<AttemptId, String> mWorkers = new HashMap<>();
        private final List<AttemptId> mRunningAttempts = new ArrayList<>();
        private int mOverfilled;
        private int mStarted;

        void start(AttemptId attempt, String worker, Room room) {
            mRooms.put(attempt, room);
            mWorkers.put(attempt, worker);
            mRunningAttempts.add(attempt);
            mStarted++;
        }

        String end(AttemptId attempt) {
            mRooms.remove(attempt);
            mRunningAttempts.remove(attempt);
            String worker = mWorkers.remove(attempt);
            return worker == null ? "" : worker;
        }

        void countOverfilledWorkers() {
            Map<String, Room> used = new HashMap<>();
            mWorkers.forEach(
                    (attempt, worker) ->
                            used.merge(
                                    worker, mRooms.getOrDefault(attempt, Room.NONE), Room::plus));
            Room capacity = new Room(16_000, 32 * SyntheticLoad.GIB, 0);
            for (Room room : used.values()) {
                mOverfilled += room.fitsIn(capacity) ? 0 : 1;
            }
        }

        /**
         * Returns about a seventh of the running attempts, so that the shard fills and stays full.
         */
        List<AttemptId> pickRandomSeventh(Random random) {
            return mRunningAttempts.stream().filter(attempt -> random.nextInt(7) == 0).toList();
        }
    }

    private record Row(
            String policy,
            String workers,
            double tasksUntilFirstMiss,
            double cpuPercent,
            double memoryPercent,
            double acceleratorTasks,
            double tasks) {}

    private record MisdeclaredRow(String sizes, int overfilled, int tasks) {}

    private record Report(long seed, List<Row> skewed, List<MisdeclaredRow> wrong) {}
}
