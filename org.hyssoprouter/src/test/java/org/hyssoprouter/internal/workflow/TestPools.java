package org.hyssoprouter.internal.workflow;

import io.vavr.control.Option;
import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.WorkerEntry;

/** Schedulers of a small pool, for tests that send each report and answer themselves. */
final class TestPools {
    /** Name of the only queue, whose tasks fail after two failed runs. */
    static final String QUEUE = "batch";

    private TestPools() {}

    /** Returns a scheduler with idle workers that have reported, at the start of its ownership. */
    static PoolScheduler newScheduler(String... workers) {
        PoolScheduler scheduler = newOwner(0, workers);
        for (String id : workers) {
            scheduler.handleReport(id, new RunReport(0, 1, List.of(), List.of()), 0, 0);
        }
        return scheduler;
    }

    /** Returns the scheduler of a new owner with workers that have not reported to it yet. */
    static PoolScheduler newOwner(long nowMillis, String... workers) {
        PoolScheduler scheduler = newOwnerWithoutQueue(nowMillis, workers);
        scheduler.configure(config(2));
        return scheduler;
    }

    /** Returns the scheduler of a new owner whose configuration lacks the queue. */
    static PoolScheduler newOwnerWithoutQueue(long nowMillis, String... workers) {
        PoolScheduler scheduler = new PoolScheduler(SimulatedPool.LIMITS, nowMillis);
        scheduler.configure(new PoolConfig(1, List.of(), List.of(SimulatedPool.POOL)));
        for (String id : workers) {
            scheduler.updateWorker(worker(id, 1), nowMillis);
        }
        return scheduler;
    }

    /** Returns a configuration with the queue. */
    static PoolConfig config(int maxAttempts) {
        QueuePolicy queue =
                new QueuePolicy(
                        QUEUE,
                        "host",
                        "/batch/",
                        SimulatedPool.POOL,
                        0,
                        maxAttempts,
                        new QueuePolicy.Objective(2, 1_000),
                        Option.none());
        return new PoolConfig(1, List.of(queue), List.of(SimulatedPool.POOL));
    }

    /** Returns a listed worker with four cores that has reported at time 0. */
    static PoolWorker reportedWorker(String id) {
        PoolWorker worker = new PoolWorker(worker(id, 1), SimulatedPool.LIMITS);
        worker.mListed = true;
        worker.beginIncarnation(1, 0);
        worker.mLastReportMillis = 0;
        worker.mClock.recordReading(0, 0);
        return worker;
    }

    /** Returns the entry of a worker with four cores. */
    static WorkerEntry worker(String id, long incarnation) {
        return worker(id, incarnation, 4_000);
    }

    static WorkerEntry worker(String id, long incarnation, long cpuMillis) {
        return new WorkerEntry(
                id,
                SimulatedPool.POOL,
                id + ":1",
                "domain",
                "r1",
                List.of("a", "r1"),
                new Room(cpuMillis, 1L << 40, 0),
                false,
                0,
                0,
                incarnation);
    }
}
