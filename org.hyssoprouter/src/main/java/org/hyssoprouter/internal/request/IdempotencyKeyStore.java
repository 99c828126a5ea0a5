package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimMade;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;
import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Recent idempotency keys of a shard: each is claimed for one request, whose outcome is kept for
 * repeats. Not safe for use by several threads.
 *
 * <p>A key is answered from the book for its retention, is told to be expired for as long again,
 * and is then forgotten. A key that states its own time (UUID version 7) is told to be expired even
 * after that.
 *
 * @since 0.1
 */
public final class IdempotencyKeyStore {
    /** Largest answer that is kept for repeats, in bytes. */
    public static final int MAX_STORED_BODY_BYTES = 32 * 1024;

    /** Status of an outcome whose answer was not kept. */
    public static final int NO_STORED_ANSWER = 0;

    private static final byte[] EMPTY = new byte[0];

    private final int mMaxKeys;
    private final long mMaxBodyBytes;
    private final ToLongFunction<String> mRetentionMillis;
    // Keys of each customer in order of the claims, so that the oldest is found first.
    private final Map<String, LinkedHashMap<String, Entry>> mCustomers = new HashMap<>();
    private final ArrayDeque<Entry> mWithBody = new ArrayDeque<>();
    private int mSize;
    private long mBodyBytes;

    /**
     * Creates an empty book.
     *
     * @param maxKeys most keys that are kept
     * @param maxBodyBytes most bytes of stored answers that are kept
     * @param retentionMillis time for which the keys of a customer are kept
     */
    public IdempotencyKeyStore(
            int maxKeys, long maxBodyBytes, ToLongFunction<String> retentionMillis) {
        mRetentionMillis = retentionMillis;
        mMaxKeys = maxKeys;
        mMaxBodyBytes = maxBodyBytes;
    }

    /**
     * Restores the effect of an event; events other than claims have none.
     *
     * @param event event of the shard's history, in order
     */
    public void apply(ShardEvent event) {
        if (event instanceof ClaimMade made) {
            add(new Entry(made, false));
        }
        if (event instanceof ClaimSettled settled) {
            record(settled);
        }
    }

    /**
     * Claims a key for a request, or says what became of an earlier one.
     *
     * @param wanted claim to make
     */
    public ClaimResult claim(ClaimMade wanted) {
        long nowMillis = wanted.wallMillis();
        long retentionMillis = mRetentionMillis.applyAsLong(wanted.customer());
        forgetOld(wanted.customer(), nowMillis);
        Entry entry = find(wanted.customer(), wanted.key());
        if (entry != null) {
            return repeated(entry, wanted, retentionMillis);
        }
        Option<Long> statedMillis = KeyTimestamp.of(wanted.key());
        if (statedMillis.exists(stated -> nowMillis - stated >= retentionMillis)) {
            return new ClaimResult.Expired();
        }
        if (mSize >= mMaxKeys) {
            List.copyOf(mCustomers.keySet()).forEach(name -> forgetOld(name, nowMillis));
        }
        if (mSize >= mMaxKeys) {
            return new ClaimResult.Full(retentionMillis);
        }
        add(new Entry(wanted, true));
        return new ClaimResult.Claimed(wanted);
    }

    private static ClaimResult repeated(Entry entry, ClaimMade wanted, long retentionMillis) {
        if (!entry.mMade.bodyHash().equals(wanted.bodyHash())) {
            return new ClaimResult.BodyMismatch();
        }
        if (entry.mOutcome == null && entry.mLive) {
            return new ClaimResult.InProgress();
        }
        if (wanted.wallMillis() - entry.mMade.wallMillis() >= retentionMillis) {
            return new ClaimResult.Expired();
        }
        if (entry.mOutcome == null) {
            // The owner that sent the request is gone; nobody will learn its outcome.
            return new ClaimResult.Settled(unknown(entry.mMade));
        }
        return new ClaimResult.Settled(entry.mOutcome);
    }

    /**
     * Notes the outcome of a claimed request.
     *
     * @return the event to write, with a body that is small enough to keep
     */
    public ClaimSettled recordOutcome(ClaimSettled outcome) {
        boolean tooLarge = outcome.body().length > MAX_STORED_BODY_BYTES;
        ClaimSettled kept = tooLarge ? withoutBody(outcome) : outcome;
        record(kept);
        return kept;
    }

    private void record(ClaimSettled outcome) {
        if (outcome.verdict() == Verdict.NOT_RUN) {
            forget(outcome.customer(), outcome.key());
            return;
        }
        Entry entry = find(outcome.customer(), outcome.key());
        if (entry == null) {
            return;
        }
        mBodyBytes += outcome.body().length - entry.bodyBytes();
        entry.mOutcome = outcome;
        if (entry.bodyBytes() > 0) {
            mWithBody.add(entry);
        }
        dropOldBodies();
    }

    private void dropOldBodies() {
        while (mBodyBytes > mMaxBodyBytes && !mWithBody.isEmpty()) {
            Entry entry = mWithBody.remove();
            mBodyBytes -= entry.bodyBytes();
            if (entry.mOutcome != null) {
                entry.mOutcome = withoutBody(entry.mOutcome);
            }
        }
    }

    private void add(Entry entry) {
        ClaimMade made = entry.mMade;
        forget(made.customer(), made.key());
        mCustomers
                .computeIfAbsent(made.customer(), unused -> new LinkedHashMap<>())
                .put(made.key(), entry);
        mSize++;
    }

    private @Nullable Entry find(String customer, String key) {
        Map<String, Entry> keys = mCustomers.get(customer);
        return keys == null ? null : keys.get(key);
    }

    private void forget(String customer, String key) {
        Map<String, Entry> keys = mCustomers.get(customer);
        Entry entry = keys == null ? null : keys.remove(key);
        if (entry != null) {
            forgotten(entry);
        }
    }

    private void forgotten(Entry entry) {
        mSize--;
        mBodyBytes -= entry.bodyBytes();
        if (entry.bodyBytes() > 0) {
            mWithBody.remove(entry);
        }
    }

    private void forgetOld(String customer, long nowMillis) {
        Map<String, Entry> keys = mCustomers.get(customer);
        if (keys == null) {
            return;
        }
        long keptMillis = 2 * mRetentionMillis.applyAsLong(customer);
        Iterator<Entry> oldestFirst = keys.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            boolean open = entry.mOutcome == null && entry.mLive;
            if (open || nowMillis - entry.mMade.wallMillis() < keptMillis) {
                return;
            }
            oldestFirst.remove();
            forgotten(entry);
        }
    }

    /** Returns events that restore the present state. */
    public List<ShardEvent> snapshotEvents() {
        List<ShardEvent> events = new ArrayList<>();
        mCustomers.values().forEach(keys -> keys.values().forEach(e -> e.addTo(events)));
        return events;
    }

    /** Returns the number of keys. */
    public int size() {
        return mSize;
    }

    private static ClaimSettled unknown(ClaimMade made) {
        return new ClaimSettled(
                made.customer(),
                made.key(),
                Verdict.MAY_HAVE_RUN,
                NO_STORED_ANSWER,
                EMPTY,
                made.wallMillis());
    }

    private static ClaimSettled withoutBody(ClaimSettled outcome) {
        return new ClaimSettled(
                outcome.customer(),
                outcome.key(),
                outcome.verdict(),
                NO_STORED_ANSWER,
                EMPTY,
                outcome.wallMillis());
    }

    /** A claim and, once known, its outcome. */
    private static final class Entry {
        private final ClaimMade mMade;
        // Whether this process made the claim and will learn its outcome.
        private final boolean mLive;
        private @Nullable ClaimSettled mOutcome;

        Entry(ClaimMade made, boolean live) {
            mMade = made;
            mLive = live;
        }

        void addTo(List<ShardEvent> events) {
            events.add(mMade);
            if (mOutcome != null) {
                events.add(mOutcome);
            }
        }

        int bodyBytes() {
            return mOutcome == null ? 0 : mOutcome.body().length;
        }
    }
}
