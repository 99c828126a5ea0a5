package org.hyssoprouter.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WorkerLeaseTest {
    private static final LeaseTiming TIMING = LeaseTiming.defaults();

    /** Calls may be lost, or delivered as late as possible, with or without an answer. */
    @Property(seed = "41")
    void ownerNeverSeesExpiryBeforeWorker(@ForAll long seed) {
        Random random = new Random(seed);
        long now = 0;
        long workerUntil = TIMING.takeoverExpiryMillis();
        WorkerLease lease = new WorkerLease(TIMING, true, now);
        for (int i = 0; i < 100; i++) {
            now += random.nextInt(1_500);
            long grant = lease.maxGrantMillis(now);
            assertFalse(lease.hasExpired(now) && now < workerUntil, "at " + now);
            if (grant == 0) {
                continue;
            }
            lease.onRenewalSent(grant, now);
            now += random.nextInt((int) TIMING.callTimeoutMillis());
            if (random.nextInt(4) == 0) {
                workerUntil = Math.max(workerUntil, now + grant);
                lease.onAnswer(now);
            } else {
                long late = now + TIMING.maxDeliveryDelayMillis() + grant;
                workerUntil = random.nextBoolean() ? Math.max(workerUntil, late) : workerUntil;
                lease.onUnknownOutcome(now);
            }
        }
    }

    @Test
    void pollingSilentWorkerDoesNotDelayExpiry() {
        WorkerLease lease = new WorkerLease(TIMING, true, 0);
        lease.onRenewalSent(TIMING.leaseMillis(), 10_000);
        lease.onAnswer(10_000);
        long now = 11_000;
        while (!lease.hasExpired(now)) {
            assertTrue(now < 30_000, "lease has not expired within 30 s");
            long grant = lease.maxGrantMillis(now);
            if (grant > 0) {
                lease.onRenewalSent(grant, now);
                lease.onUnknownOutcome(now + 500);
            }
            now += 1_000;
        }
        // The last full grant is aborted at 12.5 s; 1 s of late delivery and the 10 s lease follow.
        assertEquals(24_000, now);
    }
}
