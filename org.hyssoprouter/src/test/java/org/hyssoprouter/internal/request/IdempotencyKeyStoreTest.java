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

    private IdempotencyKeyStore mBook = newBook();
    private final List<ShardEvent> mJournal = new ArrayList<>();

    private static IdempotencyKeyStore newBook() {
        return new IdempotencyKeyStore(MAX_KEYS, 64, customer -> RETENTION_MILLIS);
    }

    /**
     * The model remembers when each key was last sent. Only a key whose request is known not to
     * have run, or one that is forgotten, may be sent again; owners change at any moment.
     */
    @Property(seed = "111", tries = 500)
    void sendsAKeyAtMostOnceWhileItIsKept(@ForAll long seed) {
        Random random = new Random(seed);
        mBook = newBook();
        mJournal.clear();
        Map<String, Long> sentMillis = new HashMap<>();
        Map<String, ClaimSettled> ran = new HashMap<>();
        long nowMillis = 0;
        for (int i = 0; i < 300; i++) {
            String key = "k" + random.nextInt(8);
            nowMillis += random.nextInt(40);
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    ClaimResult answer = mBook.claim(made(key, nowMillis));
                    check(answer, key, nowMillis, sentMillis, ran);
                }
                case 2 -> settle(key, random, sentMillis, ran, nowMillis);
                default -> recover(random);
            }
        }
    }

    private void check(
            ClaimResult answer,
            String key,
            long nowMillis,
            Map<String, Long> sentMillis,
            Map<String, ClaimSettled> ran) {
        Long sent = sentMillis.get(key);
        if (answer instanceof ClaimResult.Claimed claimed) {
            assertTrue(sent == null || nowMillis - sent >= 2 * RETENTION_MILLIS);
            assertTrue(mBook.size() <= MAX_KEYS);
            mJournal.add(claimed.event());
            sentMillis.put(key, nowMillis);
            ran.remove(key);
        }
        if (answer instanceof ClaimResult.Settled settled) {
            ClaimSettled outcome = ran.get(key);
            Verdict expected = outcome == null ? Verdict.MAY_HAVE_RUN : Verdict.RAN;
            assertEquals(expected, settled.outcome().verdict());
        }
    }

    private void settle(
            String key,
            Random random,
            Map<String, Long> sentMillis,
            Map<String, ClaimSettled> ran,
            long nowMillis) {
        if (!sentMillis.containsKey(key) || ran.containsKey(key)) {
            return;
        }
        boolean notRun = random.nextInt(3) == 0;
        Verdict verdict = notRun ? Verdict.NOT_RUN : Verdict.RAN;
        byte[] body = new byte[random.nextInt(40)];
        ClaimSettled outcome = new ClaimSettled("c", key, verdict, 200, body, nowMillis);
        mJournal.add(mBook.recordOutcome(outcome));
        if (notRun) {
            sentMillis.remove(key);
        } else {
            ran.put(key, outcome);
        }
    }

    private void recover(Random random) {
        List<ShardEvent> events = random.nextBoolean() ? mBook.snapshotEvents() : mJournal;
        IdempotencyKeyStore next = newBook();
        events.forEach(next::apply);
        mBook = next;
    }

    @Test
    void anotherBodyUnderTheKeyIsAConflict() {
        mBook.claim(made("k", 0));
        ClaimMade other = new ClaimMade("c", "k", "r2", "other", 1);
        assertInstanceOf(ClaimResult.BodyMismatch.class, mBook.claim(other));
    }

    @Test
    void keyPastItsRetentionIsExpired() {
        mBook.claim(made("k", 0));
        mBook.recordOutcome(new ClaimSettled("c", "k", Verdict.RAN, 200, new byte[1], 5));
        assertInstanceOf(ClaimResult.Expired.class, mBook.claim(made("k", RETENTION_MILLIS)));
        assertInstanceOf(ClaimResult.Expired.class, mBook.claim(made(OLD_UUID, RETENTION_MILLIS)));
        assertInstanceOf(ClaimResult.Claimed.class, mBook.claim(made("k", 2 * RETENTION_MILLIS)));
    }

    @Test
    void fullBookRefusesNewKeys() {
        for (int i = 0; i < MAX_KEYS; i++) {
            mBook.claim(made("k" + i, 0));
        }
        assertInstanceOf(ClaimResult.Full.class, mBook.claim(made("k", 0)));
    }

    private static ClaimMade made(String key, long nowMillis) {
        return new ClaimMade("c", key, "r", "hash", nowMillis);
    }
}
