package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.vavr.control.Option;
import java.util.List;
import org.hyssoprouter.lib.JobView.TaskView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerStatus;
import org.junit.jupiter.api.Test;

class InventoryReconcilerTest {
    private static final TaskId TASK = new TaskId("j", 0);
    private static final Room USED = new Room(100, 100, 0);

    private final SchedulerHarness mHarness = new SchedulerHarness(1);

    @Test
    void startInFlightIsNotEndedWhenInventoryLacksIt() {
        mHarness.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
        mHarness.mScheduler.place(1, 1, 10, name -> Option.some(mHarness.mQuota));
        report(1_000);
        assertEquals(TaskState.STARTING, task().state());
        mHarness.mScheduler.prepareStart(new AttemptId(TASK, 1), 2_000, 1, 1);
        report(2_000);
        assertEquals(TaskState.STARTING, task().state());
        report(2_001);
        assertEquals(TaskState.WAITING, task().state());
    }

    @Test
    void unjournaledAttemptOfEarlierOwnerIsTakenOver() {
        mHarness.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
        report(1, running(TASK, 3));
        assertEquals(new TaskView(0, TaskState.RUNNING, 3, "w0", ""), task());
        assertEquals(
                new Room(3_000, 3_000, 0), mHarness.mScheduler.fleet().roomTracker().free("w0"));
    }

    @Test
    void attemptOfUnknownJobHoldsRoomUntilStopped() {
        report(1, running(new TaskId("gone", 0), 1));
        Room free = SchedulerHarness.CAPACITY.minus(USED);
        assertEquals(free, mHarness.mScheduler.fleet().roomTracker().free("w0"));
        mHarness.mScheduler.enqueueDueStops(1);
        PlacementAction action = mHarness.mScheduler.takeOutput().actions().get(0);
        assertInstanceOf(PlacementAction.Stop.class, action);
        report(2);
        assertEquals(
                SchedulerHarness.CAPACITY, mHarness.mScheduler.fleet().roomTracker().free("w0"));
    }

    private TaskView task() {
        return mHarness.view("j").tasks().get(0);
    }

    private void report(long workerMillis, TaskReport... reports) {
        WorkerStatus status = new WorkerStatus("w0", workerMillis, List.of(reports));
        mHarness.mScheduler.reconcile(status, 1, 1);
    }

    private static TaskReport running(TaskId task, int attempt) {
        return new TaskReport(task, attempt, TaskReport.State.RUNNING, USED, "");
    }
}
