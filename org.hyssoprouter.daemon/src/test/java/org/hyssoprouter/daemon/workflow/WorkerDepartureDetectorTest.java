package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.junit.jupiter.api.Test;

class WorkerDepartureDetectorTest {
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final WorkerDepartureDetector mDepartures =
            new WorkerDepartureDetector(HEARTBEAT_MILLIS);

    private static WorkerEntry worker(boolean draining) {
        return new WorkerEntry(
                "w", "pool", "w:1", "d", "r", List.of(), Room.NONE, draining, 0, 0, 1);
    }

    @Test
    void aDrainingWorkerWhoseEntryIsRemovedAtOnceHasLeft() {
        mDepartures.finishRead(1_000);
        mDepartures.onEntryWritten(worker(true));
        mDepartures.finishRead(2_000);
        mDepartures.onEntryRemoved("w");
        assertEquals(List.of(worker(true)), mDepartures.finishRead(3_000));
    }

    @Test
    void aWorkerThatWasSilentForThreeIntervalsMayRunOn() {
        mDepartures.finishRead(1_000);
        mDepartures.onEntryWritten(worker(true));
        for (long millis = 2_000; millis < 5_500; millis += 500) {
            mDepartures.finishRead(millis);
        }
        mDepartures.onEntryRemoved("w");
        assertEquals(List.of(), mDepartures.finishRead(5_500));
    }

    @Test
    void aWorkerThatDoesNotDrainMayRunOn() {
        mDepartures.finishRead(1_000);
        mDepartures.onEntryWritten(worker(false));
        mDepartures.finishRead(2_000);
        mDepartures.onEntryRemoved("w");
        assertEquals(List.of(), mDepartures.finishRead(2_500));
    }

    // Entries may lapse while the store is away.
    @Test
    void anEntryThatIsRemovedAfterABrokenReadingSaysNothing() {
        mDepartures.finishRead(1_000);
        mDepartures.onEntryWritten(worker(true));
        mDepartures.finishRead(1_500);
        mDepartures.onReadFailed();
        mDepartures.onEntryRemoved("w");
        assertEquals(List.of(), mDepartures.finishRead(3_500));
    }

    @Test
    void aLongGapBetweenTwoReadingsSaysNothing() {
        mDepartures.finishRead(1_000);
        mDepartures.onEntryWritten(worker(true));
        mDepartures.finishRead(1_200);
        mDepartures.onEntryRemoved("w");
        assertEquals(List.of(), mDepartures.finishRead(3_900));
    }
}
