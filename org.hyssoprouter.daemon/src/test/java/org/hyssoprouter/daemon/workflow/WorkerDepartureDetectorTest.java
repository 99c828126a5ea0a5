package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.junit.jupiter.api.Test;

class WorkerDepartureDetectorTest {
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final WorkerDepartureDetector mDetector = new WorkerDepartureDetector(HEARTBEAT_MILLIS);

    private static WorkerEntry worker(boolean draining) {
        return new WorkerEntry(
                "w", "pool", "w:1", "d", "r", List.of(), Room.NONE, draining, 0, 0, 1);
    }

    @Test
    void drainingWorkerWithPromptRemovalHasDeparted() {
        mDetector.finishRead(1_000);
        mDetector.onEntryWritten(worker(true));
        mDetector.finishRead(2_000);
        mDetector.onEntryRemoved("w");
        assertEquals(List.of(worker(true)), mDetector.finishRead(3_000));
    }

    @Test
    void workerWithoutHeartbeatsForThreeIntervalsMayStillRun() {
        mDetector.finishRead(1_000);
        mDetector.onEntryWritten(worker(true));
        for (long millis = 2_000; millis < 5_500; millis += 500) {
            mDetector.finishRead(millis);
        }
        mDetector.onEntryRemoved("w");
        assertEquals(List.of(), mDetector.finishRead(5_500));
    }

    @Test
    void workerThatIsNotDrainingMayStillRun() {
        mDetector.finishRead(1_000);
        mDetector.onEntryWritten(worker(false));
        mDetector.finishRead(2_000);
        mDetector.onEntryRemoved("w");
        assertEquals(List.of(), mDetector.finishRead(2_500));
    }

    // Entries may expire while the store is unavailable.
    @Test
    void removalAfterFailedReadIsInconclusive() {
        mDetector.finishRead(1_000);
        mDetector.onEntryWritten(worker(true));
        mDetector.finishRead(1_500);
        mDetector.onReadFailed();
        mDetector.onEntryRemoved("w");
        assertEquals(List.of(), mDetector.finishRead(3_500));
    }

    @Test
    void removalAfterLongReadGapIsInconclusive() {
        mDetector.finishRead(1_000);
        mDetector.onEntryWritten(worker(true));
        mDetector.finishRead(1_200);
        mDetector.onEntryRemoved("w");
        assertEquals(List.of(), mDetector.finishRead(3_900));
    }
}
