package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StoreClockTest {
    private long mNowMillis = 1_000;
    private final StoreClock mClock = new StoreClock(() -> mNowMillis);

    @Test
    void timeOfAcceptanceOutlastsItsDaemon() {
        mClock.recordReading(50_000);
        mNowMillis += 300;
        long acceptedMillis = mClock.millis();
        StoreClock next = new StoreClock(() -> 7);
        next.recordReading(54_000);
        assertEquals(7 - 3_700, next.toLocalMillis(acceptedMillis));
    }

    @Test
    void unknownTimesCountAsNow() {
        assertEquals(mNowMillis, mClock.toLocalMillis(50_000));
        mClock.recordReading(50_000);
        assertEquals(mNowMillis, mClock.toLocalMillis(StoreClock.UNKNOWN));
        assertEquals(mNowMillis, mClock.toLocalMillis(60_000));
    }

    // An answer that was held back carries an earlier time.
    @Test
    void timeDoesNotGoBack() {
        mClock.recordReading(50_000);
        mNowMillis += 400;
        mClock.recordReading(50_100);
        assertEquals(50_400, mClock.millis());
    }

    // Guards against a time that runs ahead for ever where the local clock is the faster one.
    @Test
    void fasterLocalClockDoesNotAddUp() {
        long storeMillis = 50_000;
        for (int i = 0; i < 24 * 3_600; i++) {
            mClock.recordReading(storeMillis);
            storeMillis += 10_000;
            mNowMillis += 10_001;
        }
        assertTrue(mClock.millis() - storeMillis < 100, "ahead of the store");
    }
}
