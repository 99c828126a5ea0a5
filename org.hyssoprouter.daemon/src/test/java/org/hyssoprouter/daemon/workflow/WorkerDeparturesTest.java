package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.WorkerEntry;
import org.junit.jupiter.api.Test;

class WorkerDeparturesTest {
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final WorkerDepartures mDepartures = new WorkerDepartures(HEARTBEAT_MILLIS);

    private static WorkerEntry worker(boolean draining) {
        return new WorkerEntry(
                "w", "pool", "w:1", "d", "r", List.of(), Room.NONE, draining, 0, 0, 1);
    }

    @Test
    void aDrainingWorkerWhoseEntryIsRemovedAtOnceHasLeft() {
        mDepartures.read(1_000);
        mDepartures.written(worker(true));
        mDepartures.read(2_000);
        mDepartures.removed("w");
        assertEquals(List.of(worker(true)), mDepartures.read(3_000));
    }

    @Test
    void aWorkerThatWasSilentForThreeIntervalsMayRunOn() {
        mDepartures.read(1_000);
        mDepartures.written(worker(true));
        for (long millis = 2_000; millis < 5_500; millis += 500) {
            mDepartures.read(millis);
        }
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(5_500));
    }

    @Test
    void aWorkerThatDoesNotDrainMayRunOn() {
        mDepartures.read(1_000);
        mDepartures.written(worker(false));
        mDepartures.read(2_000);
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(2_500));
    }

    // Entries may lapse while the store is away.
    @Test
    void anEntryThatIsRemovedAfterABrokenReadingSaysNothing() {
        mDepartures.read(1_000);
        mDepartures.written(worker(true));
        mDepartures.read(1_500);
        mDepartures.failed();
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(3_500));
    }

    @Test
    void aLongGapBetweenTwoReadingsSaysNothing() {
        mDepartures.read(1_000);
        mDepartures.written(worker(true));
        mDepartures.read(1_200);
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(3_900));
    }
}
