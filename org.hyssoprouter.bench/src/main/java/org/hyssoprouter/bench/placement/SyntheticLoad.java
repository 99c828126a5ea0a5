package org.hyssoprouter.bench.placement;

import java.util.List;
import java.util.Random;
import org.hyssoprouter.internal.placement.Assignment;
import org.hyssoprouter.internal.placement.Fleet;
import org.hyssoprouter.internal.placement.PlacementPolicy;
import org.hyssoprouter.internal.placement.PlacementRequest;
import org.hyssoprouter.internal.placement.TaskSpread;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** Creates workers and tasks of the sizes in the users' requirements. */
final class SyntheticLoad {
    static final long GIB = 1L << 30;
    static final int WORKERS_PER_RACK = 8;

    private SyntheticLoad() {}

    /** Adds usable workers of one size, eight to a rack; every eighth has two accelerators. */
    static void addWorkers(Fleet fleet, int count, int cores, long memoryBytes) {
        for (int i = 0; i < count; i++) {
            String name = workerName(i);
            int accelerators = i % WORKERS_PER_RACK == 0 ? 2 : 0;
            Room capacity = new Room(cores * 1_000L, memoryBytes, accelerators);
            fleet.putWorker(name, "rack" + i / WORKERS_PER_RACK, capacity);
            fleet.setUsable(name, true);
        }
    }

    static String workerName(int worker) {
        return String.format("w%05d", worker);
    }

    /** Returns a skewed room: most are small, a few take a large share of one resource. */
    static Room skewedRoom(Random random, int cores, long memoryBytes) {
        double cpuShare = paretoShare(random);
        double memoryShare = paretoShare(random);
        int accelerators = random.nextInt(20) == 0 ? 1 : 0;
        return new Room(
                Math.max(100, (long) (cores * 1_000L * cpuShare)),
                Math.max(1 << 20, (long) (memoryBytes * memoryShare)),
                accelerators);
    }

    /** Returns a Pareto-distributed share, limited to the range from 0.01 to 0.6. */
    private static double paretoShare(Random random) {
        double pareto = 0.02 / Math.pow(1 - random.nextDouble(), 1 / 1.2);
        return Math.min(0.6, Math.max(0.01, pareto));
    }

    static AttemptId attempt(String job, int index) {
        return new AttemptId(new TaskId(job, index), 1);
    }

    static List<Assignment> placeOne(
            PlacementPolicy policy, Fleet fleet, AttemptId attempt, Room room) {
        TaskSpread spread = new TaskSpread();
        return policy.place(new PlacementRequest(List.of(attempt), room, spread, ""), fleet);
    }
}
