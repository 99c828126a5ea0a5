package org.hyssoprouter.internal.workflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WorkerClockTest {
    private static final SchedulerLimits LIMITS = new SchedulerLimits(6_000, 900, 2_500);

    @Test
    void leasesOfAFormerOwnerOutliveTheFirstReading() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.read(500_000, 1_000);
        assertFalse(clock.leasesLapsed(1_010));
        assertFalse(clock.leasesLapsed(7_000));
    }

    @Test
    void leasesLapseOnlyWhenTheSlowestClockHasPassedThem() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.read(500_000, 1_000);
        assertEquals(506_100, clock.deadline(1_100));
        assertFalse(clock.leasesLapsed(7_400));
        assertTrue(clock.leasesLapsed(7_600));
    }

    @Test
    void anOlderReadingThatArrivesLateChangesNothing() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.read(500_000, 1_000);
        clock.read(490_000, 1_200);
        assertEquals(506_300, clock.deadline(1_300));
    }

    @Test
    void aNewLifeStartsAnew() {
        WorkerClock clock = new WorkerClock(LIMITS);
        clock.read(500_000, 1_000);
        clock.reset();
        assertEquals(0, clock.deadline(1_100));
        clock.read(20, 1_200);
        assertEquals(6_020, clock.deadline(1_200));
    }
}
