package org.hyssoprouter.daemon.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.Map;
import org.junit.jupiter.api.Test;

class QueueCountCacheTest {
    private static final String QUEUE = "q";
    private static final long STORE_START_MILLIS = 50_000;

    private final SteppedExecutor mClock = new SteppedExecutor();
    private final StoreClock mStoreClock = new StoreClock(mClock);
    private long mSuspendedMillis;
    private final InstantSource mTimeOfDay =
            () -> Instant.ofEpochMilli(mClock.millis() + mSuspendedMillis);
    private final QueueCountCache mCache =
            new QueueCountCache(mClock, clock(mTimeOfDay), mStoreClock);

    private static Clock clock(InstantSource source) {
        return new Clock() {
            @Override
            public ZoneOffset getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return source.instant();
            }
        };
    }

    private long storeMillis() {
        return STORE_START_MILLIS + mClock.millis();
    }

    private void put(int waiting, long countedMillis) {
        mCache.putLoad(Schema.LOAD_KEY, new LoadRow(Map.of(QUEUE, waiting), 1));
        mCache.putOwner(new OwnerRow("a", "run", "", 3, 1, false).withCountedMillis(countedMillis));
    }

    private void sync() {
        mStoreClock.recordReading(storeMillis());
        mCache.onSynced();
    }

    private boolean isRecent() {
        return mCache.countOf(QUEUE).exists(QueueCount::isRecent);
    }

    // Guards against 0 from a daemon that has read no count yet.
    @Test
    void countIsUnknownBeforeAnOwnerHasPublishedIt() {
        assertEquals(Option.none(), mCache.countOf(QUEUE));
        mCache.onReset();
        sync();
        sync();
        assertEquals(Option.none(), mCache.countOf(QUEUE));
    }

    // Guards against the count of an owner that was killed, frozen or cut off.
    @Test
    void countIsNotRecentOnceItsOwnerIsSilent() {
        put(7, storeMillis());
        sync();
        assertEquals(Option.some(new QueueCount(7, 0, 3)), mCache.countOf(QUEUE));
        for (int i = 0; i < 20; i++) {
            mClock.advance(100);
            sync();
        }
        assertTrue(isRecent());
        mClock.advance(1);
        assertFalse(isRecent());
        put(9, storeMillis());
        sync();
        assertEquals(9, mCache.countOf(QUEUE).get().waiting());
        assertTrue(isRecent());
    }

    // Guards against the last count that was read before the store stopped to answer.
    @Test
    void countIsNotRecentOnceTheStoreDoesNotAnswer() {
        put(7, storeMillis());
        sync();
        mClock.advance(QueueCount.MAX_AGE_MILLIS + 1);
        assertFalse(isRecent());
    }

    // Guards against a count from before the machine was suspended, when the clock stood still.
    @Test
    void countIsNotRecentAfterTheMachineWasSuspended() {
        put(7, storeMillis());
        sync();
        mSuspendedMillis = Duration.ofSeconds(5).toMillis();
        assertFalse(isRecent());
    }

    // Guards against an owner that has read no job yet and publishes nothing.
    @Test
    void countIsUnknownWhenTheOwnerSaysSo() {
        put(0, 0);
        sync();
        assertEquals(Option.none(), mCache.countOf(QUEUE));
    }

    // Guards against rows of two commits after the history was forgotten: a page of the scan may
    // be older than the owner's row on the next one.
    @Test
    void scannedRowsAreNotUsedBeforeTheChangesSinceThen() {
        put(7, storeMillis());
        sync();
        mClock.advance(1_000);
        mCache.onReset();
        mCache.putLoad(Schema.LOAD_KEY, new LoadRow(Map.of(QUEUE, 1), 1));
        mCache.putOwner(new OwnerRow("a", "run", "", 3, 9, false).withCountedMillis(storeMillis()));
        sync();
        assertEquals(Option.some(new QueueCount(7, 1_000, 3)), mCache.countOf(QUEUE));
        mCache.putLoad(Schema.LOAD_KEY, new LoadRow(Map.of(QUEUE, 8), 1));
        sync();
        assertEquals(Option.some(new QueueCount(8, 0, 3)), mCache.countOf(QUEUE));
    }
}
