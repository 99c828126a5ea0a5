package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WorkerLeaseTest {
    private static final LeaseTiming TIMING = LeaseTiming.standard();

    /** Any call may be lost, or delivered at the last moment, with or without its answer. */
    @Property(seed = "41")
    void neverLapsesForItsOwnerBeforeItLapsesAtTheWorker(@ForAll long seed) {
        Random random = new Random(seed);
        long now = 0;
        long workerUntil = TIMING.settleMillis();
        WorkerLease lease = new WorkerLease(TIMING, true, now);
        for (int i = 0; i < 100; i++) {
            now += random.nextInt(1_500);
            long grant = lease.grantMillis(now);
            assertFalse(lease.hasLapsed(now) && now < workerUntil, "at " + now);
            if (grant == 0) {
                continue;
            }
            lease.sent(grant, now);
            now += random.nextInt((int) TIMING.callMillis());
            if (random.nextInt(4) == 0) {
                workerUntil = Math.max(workerUntil, now + grant);
                lease.answered(now);
            } else {
                long late = now + TIMING.deliveryMillis() + grant;
                workerUntil = random.nextBoolean() ? Math.max(workerUntil, late) : workerUntil;
                lease.unknown(now);
            }
        }
    }

    @Test
    void askingASilentWorkerDoesNotMoveItsLapse() {
        WorkerLease lease = new WorkerLease(TIMING, true, 0);
        lease.sent(TIMING.leaseMillis(), 10_000);
        lease.answered(10_000);
        long now = 11_000;
        while (!lease.hasLapsed(now)) {
            assertTrue(now < 30_000, "never lapses");
            long grant = lease.grantMillis(now);
            if (grant > 0) {
                lease.sent(grant, now);
                lease.unknown(now + 500);
            }
            now += 1_000;
        }
        // The last full grant is given up at 12.5 s; 1 s of delivery and the lease follow.
        assertEquals(24_000, now);
    }
}
