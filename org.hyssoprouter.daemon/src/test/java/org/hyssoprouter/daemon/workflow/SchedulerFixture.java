package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.List;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.RunReport;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.hyssoprouter.lib.workflow.WorkflowSpec;

/** Scheduler with one worker and one workflow of one task, for tests of the classes around it. */
final class SchedulerFixture {
    static final long NOW_MILLIS = 1_000;
    static final String WORKER = "w";
    static final String WORKFLOW = "a";

    private static final String QUEUE = "batch";
    private static final String POOL = "pool";
    private static final Room ROOM = new Room(1_000, 1, 0);

    private final PoolScheduler mScheduler =
            new PoolScheduler(new SchedulerLimits(6_000, 900, 2_500), 0);

    PoolScheduler scheduler() {
        return mScheduler;
    }

    /** Submits the workflow and returns the order to start its task; other output is not taken. */
    TaskStart placeTask() {
        addWorker(ROOM);
        submit(WORKFLOW);
        mScheduler.place(NOW_MILLIS);
        return mScheduler.output().takeStarts().get(0);
    }

    /** Adds the queue and the worker, which has reported. */
    void addWorker(Room room) {
        QueuePolicy.Objective objective = new QueuePolicy.Objective(2, 1_000);
        QueuePolicy queue =
                new QueuePolicy(QUEUE, "host", "/batch/", POOL, 0, 3, objective, Option.none());
        mScheduler.configure(new PoolConfig(1, List.of(queue), List.of(POOL)));
        mScheduler.updateWorker(
                new WorkerEntry(WORKER, POOL, "w:1", "d", "r", List.of(), room, false, 0, 0, 1),
                NOW_MILLIS);
        report(NOW_MILLIS);
    }

    /** Reports that the worker runs nothing. */
    void report(long nowMillis) {
        RunReport report = new RunReport(nowMillis, 1, List.of(), List.of());
        mScheduler.handleReport(WORKER, report, nowMillis, nowMillis);
    }

    /** Submits a workflow of one task. */
    void submit(String id) {
        submit(id, 1, false);
    }

    /** Submits a workflow of one step. */
    void submit(String id, int tasks, boolean gang) {
        mScheduler.addWorkflow(workflow(id, tasks, gang), NOW_MILLIS);
    }

    /** Returns a workflow of one step. */
    static WorkflowSpec workflow(String id, int tasks, boolean gang) {
        StepSpec step =
                new StepSpec(
                        tasks,
                        ROOM,
                        500,
                        List.of(),
                        gang,
                        StepSpec.Limits.NONE,
                        StepSpec.Behavior.PLAIN);
        return new WorkflowSpec(id, QUEUE, "", List.of(step), WorkflowSpec.Schedule.ONCE);
    }
}
