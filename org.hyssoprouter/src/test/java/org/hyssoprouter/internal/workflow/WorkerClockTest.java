package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerClockTest {
    private static final SchedulerLimits LIMITS = new SchedulerLimits(6_000, 900, 2_500);

    @Test
    void leasesOfPreviousOwnerAreAssumedAtFirstReading() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.recordReading(500_000, 1_000);
        assertFalse(clock.allLeasesExpired(1_010));
        assertFalse(clock.allLeasesExpired(7_000));
    }

    @Test
    void leasesExpireOnlyAfterSlowestClockPassesThem() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.recordReading(500_000, 1_000);
        assertEquals(506_100, clock.grantLease(1_100));
        assertFalse(clock.allLeasesExpired(7_400));
        assertTrue(clock.allLeasesExpired(7_600));
    }

    @Test
    void olderReadingIsIgnored() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.recordReading(500_000, 1_000);
        clock.recordReading(490_000, 1_200);
        assertEquals(506_300, clock.grantLease(1_300));
    }

    @Test
    void resetDiscardsReadings() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.recordReading(500_000, 1_000);
        clock.reset();
        assertEquals(0, clock.grantLease(1_100));
        clock.recordReading(20, 1_200);
        assertEquals(6_020, clock.grantLease(1_200));
    }
}
