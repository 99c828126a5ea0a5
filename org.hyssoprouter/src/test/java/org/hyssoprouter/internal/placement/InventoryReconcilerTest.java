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

    private final SchedulerHarness mDriver = new SchedulerHarness(1);

    @Test
    void startThatMayBeOnItsWayIsNotEndedByItsAbsence() {
        mDriver.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
        mDriver.mBook.place(1, 1, 10, name -> Option.some(mDriver.mQuota));
        report(1_000);
        assertEquals(TaskState.STARTING, task().state());
        mDriver.mBook.prepareStart(new AttemptId(TASK, 1), 2_000, 1, 1);
        report(2_000);
        assertEquals(TaskState.STARTING, task().state());
        report(2_001);
        assertEquals(TaskState.WAITING, task().state());
    }

    @Test
    void attemptThatAnEarlierOwnerCouldNotJournalIsTakenOver() {
        mDriver.submit("j", WorkKind.BATCH, TrafficClass.NORMAL, 1, 1_000);
        report(1, running(TASK, 3));
        assertEquals(new TaskView(0, TaskState.RUNNING, 3, "w0", ""), task());
        assertEquals(new Room(3_000, 3_000, 0), mDriver.mBook.fleet().roomTracker().free("w0"));
    }

    @Test
    void attemptOfAnUnknownJobKeepsItsRoomUntilItHasStopped() {
        report(1, running(new TaskId("gone", 0), 1));
        Room free = SchedulerHarness.CAPACITY.minus(USED);
        assertEquals(free, mDriver.mBook.fleet().roomTracker().free("w0"));
        mDriver.mBook.enqueueDueStops(1);
        PlacementAction action = mDriver.mBook.takeOutput().actions().get(0);
        assertInstanceOf(PlacementAction.Stop.class, action);
        report(2);
        assertEquals(SchedulerHarness.CAPACITY, mDriver.mBook.fleet().roomTracker().free("w0"));
    }

    private TaskView task() {
        return mDriver.view("j").tasks().get(0);
    }

    private void report(long workerMillis, TaskReport... reports) {
        WorkerStatus status = new WorkerStatus("w0", workerMillis, List.of(reports));
        mDriver.mBook.reconcile(status, 1, 1);
    }

    private static TaskReport running(TaskId task, int attempt) {
        return new TaskReport(task, attempt, TaskReport.State.RUNNING, USED, "");
    }
}
