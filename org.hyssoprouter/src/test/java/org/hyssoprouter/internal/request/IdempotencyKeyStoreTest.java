package org.hyssoprouter.internal.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimMade;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;
import org.hyssoprouter.lib.Verdict;
import org.junit.jupiter.api.Test;

class IdempotencyKeyStoreTest {
    private static final long RETENTION_MILLIS = 1000;
    private static final int MAX_KEYS = 6;
    private static final String OLD_UUID = "00000000-0000-7000-8000-000000000000";

    private IdempotencyKeyStore mStore = newStore();
    private final List<ShardEvent> mJournal = new ArrayList<>();

    private static IdempotencyKeyStore newStore() {
        return new IdempotencyKeyStore(MAX_KEYS, 64, customer -> RETENTION_MILLIS);
    }

    /**
     * Compares the store with a model that records when each key was last granted. A key may be
     * granted again only if its request is known not to have run or if the key has been evicted.
     * The owner may change at any time, after which the store is restored from a snapshot or from
     * the journal.
     */
    @Property(seed = "111", tries = 500)
    void grantsAKeyAtMostOnceWhileItIsKept(@ForAll long seed) {
        Random random = new Random(seed);
        mStore = newStore();
        mJournal.clear();
        Map<String, Long> grantedMillis = new HashMap<>();
        Map<String, ClaimSettled> ran = new HashMap<>();
        long nowMillis = 0;
        for (int i = 0; i < 300; i++) {
            String key = "k" + random.nextInt(8);
            nowMillis += random.nextInt(40);
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    ClaimResult result = mStore.claim(newClaim(key, nowMillis));
                    checkResult(result, key, nowMillis, grantedMillis, ran);
                }
                case 2 -> recordOutcome(key, random, grantedMillis, ran, nowMillis);
                default -> replaceStore(random);
            }
        }
    }

    private void checkResult(
            ClaimResult result,
            String key,
            long nowMillis,
            Map<String, Long> grantedMillis,
            Map<String, ClaimSettled> ran) {
        Long granted = grantedMillis.get(key);
        if (result instanceof ClaimResult.Claimed claimed) {
            assertTrue(granted == null || nowMillis - granted >= 2 * RETENTION_MILLIS);
            assertTrue(mStore.size() <= MAX_KEYS);
            mJournal.add(claimed.event());
            grantedMillis.put(key, nowMillis);
            ran.remove(key);
        }
        if (result instanceof ClaimResult.Settled settled) {
            ClaimSettled outcome = ran.get(key);
            Verdict expected = outcome == null ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
            assertEquals(expected, settled.outcome().verdict());
        }
    }

    private void recordOutcome(
            String key,
            Random random,
            Map<String, Long> grantedMillis,
            Map<String, ClaimSettled> ran,
            long nowMillis) {
        if (!grantedMillis.containsKey(key) || ran.containsKey(key)) {
            return;
        }
        boolean notRun = random.nextInt(3) == 0;
        Verdict verdict = notRun ? Verdict.NOT_RUN : Verdict.RAN;
        byte[] body = new byte[random.nextInt(40)];
        ClaimSettled outcome = new ClaimSettled("c", key, verdict, 200, body, nowMillis);
        mJournal.add(mStore.recordOutcome(outcome));
        if (notRun) {
            grantedMillis.remove(key);
        } else {
            ran.put(key, outcome);
        }
    }

    private void replaceStore(Random random) {
        List<ShardEvent> events = random.nextBoolean() ? mStore.snapshotEvents() : mJournal;
        IdempotencyKeyStore restored = newStore();
        events.forEach(restored::apply);
        mStore = restored;
    }

    @Test
    void keyWithAnotherBodyIsRejected() {
        mStore.claim(newClaim("k", 0));
        ClaimMade mismatch = new ClaimMade("c", "k", "r2", "other", 1);
        assertInstanceOf(ClaimResult.BodyMismatch.class, mStore.claim(mismatch));
    }

    @Test
    void keyPastItsRetentionIsExpired() {
        mStore.claim(newClaim("k", 0));
        mStore.recordOutcome(new ClaimSettled("c", "k", Verdict.RAN, 200, new byte[1], 5));
        assertInstanceOf(ClaimResult.Expired.class, mStore.claim(newClaim("k", RETENTION_MILLIS)));
        assertInstanceOf(
                ClaimResult.Expired.class, mStore.claim(newClaim(OLD_UUID, RETENTION_MILLIS)));
        assertInstanceOf(
                ClaimResult.Claimed.class, mStore.claim(newClaim("k", 2 * RETENTION_MILLIS)));
    }

    @Test
    void fullStoreRejectsNewKeys() {
        for (int i = 0; i < MAX_KEYS; i++) {
            mStore.claim(newClaim("k" + i, 0));
        }
        assertInstanceOf(ClaimResult.Full.class, mStore.claim(newClaim("k", 0)));
    }

    private static ClaimMade newClaim(String key, long nowMillis) {
        return new ClaimMade("c", key, "r", "hash", nowMillis);
    }
}
