package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerDeparturesTest {
    private static final long HEARTBEAT_MILLIS = 1_500;

    private final WorkerDepartures mDepartures = new WorkerDepartures(HEARTBEAT_MILLIS);

    @Test
    void aDrainingWorkerWhoseEntryIsRemovedAtOnceHasLeft() {
        mDepartures.read(1_000);
        mDepartures.written("w", true);
        mDepartures.read(2_000);
        mDepartures.removed("w");
        assertEquals(List.of("w"), mDepartures.read(3_000));
    }

    @Test
    void aWorkerThatWasSilentForThreeIntervalsMayRunOn() {
        mDepartures.read(1_000);
        mDepartures.written("w", true);
        for (long millis = 2_000; millis < 5_500; millis += 500) {
            mDepartures.read(millis);
        }
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(5_500));
    }

    @Test
    void aWorkerThatDoesNotDrainMayRunOn() {
        mDepartures.read(1_000);
        mDepartures.written("w", false);
        mDepartures.read(2_000);
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(2_500));
    }

    // Entries may lapse while the store is away.
    @Test
    void anEntryThatIsRemovedAfterABrokenReadingSaysNothing() {
        mDepartures.read(1_000);
        mDepartures.written("w", true);
        mDepartures.read(1_500);
        mDepartures.failed();
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(3_500));
    }

    @Test
    void aLongGapBetweenTwoReadingsSaysNothing() {
        mDepartures.read(1_000);
        mDepartures.written("w", true);
        mDepartures.read(1_200);
        mDepartures.removed("w");
        assertEquals(List.of(), mDepartures.read(3_900));
    }
}
