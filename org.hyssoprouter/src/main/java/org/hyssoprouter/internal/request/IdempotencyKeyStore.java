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
 * Stores the recent idempotency keys of a shard. Each key is claimed for one request, whose outcome
 * is kept to answer repeated requests with the same key. Not safe for use by several threads.
 *
 * <p>Repeated requests get the stored outcome during the retention time of the key. For the same
 * time again they are rejected as expired; then the key is evicted. A key that contains its own
 * timestamp (UUID version 7) is rejected as expired even after its eviction.
 *
 * @since 0.1
 */
public final class IdempotencyKeyStore {
    /** Largest response body that is stored for repeated requests, in bytes. */
    public static final int MAX_STORED_BODY_BYTES = 32 * 1024;

    /** Status of an outcome whose response was not stored. */
    public static final int NO_STORED_ANSWER = 0;

    private static final byte[] EMPTY = new byte[0];

    private final int mMaxKeys;
    private final long mMaxBodyBytes;
    private final ToLongFunction<String> mRetentionMillis;
    // The entries of each customer are in order of their claims, so that iteration starts at the
    // oldest.
    private final Map<String, LinkedHashMap<String, Entry>> mEntriesByCustomer = new HashMap<>();
    private final ArrayDeque<Entry> mEntriesWithBody = new ArrayDeque<>();
    private int mSize;
    private long mBodyBytes;

    /**
     * Creates an empty store.
     *
     * @param maxKeys maximum number of keys
     * @param maxBodyBytes maximum total size of the stored response bodies; the oldest are evicted
     *     first
     * @param retentionMillis retention time of the keys of a customer in milliseconds, by customer
     *     name
     */
    public IdempotencyKeyStore(
            int maxKeys, long maxBodyBytes, ToLongFunction<String> retentionMillis) {
        mRetentionMillis = retentionMillis;
        mMaxKeys = maxKeys;
        mMaxBodyBytes = maxBodyBytes;
    }

    /**
     * Replays an event of the shard's history. Events must be replayed in order; events other than
     * claims and their outcomes are ignored.
     */
    public void apply(ShardEvent event) {
        if (event instanceof ClaimMade made) {
            add(new Entry(made, false));
        }
        if (event instanceof ClaimSettled settled) {
            storeOutcome(settled);
        }
    }

    /**
     * Claims a key for a request. If the key was claimed before, returns the state of the earlier
     * request instead.
     */
    public ClaimResult claim(ClaimMade claim) {
        long nowMillis = claim.wallMillis();
        long retentionMillis = mRetentionMillis.applyAsLong(claim.customer());
        evictExpired(claim.customer(), nowMillis);
        Entry entry = find(claim.customer(), claim.key());
        if (entry != null) {
            return resultForRepeat(entry, claim, retentionMillis);
        }
        Option<Long> timestampMillis = KeyTimestamp.of(claim.key());
        if (timestampMillis.exists(created -> nowMillis - created >= retentionMillis)) {
            return new ClaimResult.Expired();
        }
        if (mSize >= mMaxKeys) {
            List.copyOf(mEntriesByCustomer.keySet()).forEach(name -> evictExpired(name, nowMillis));
        }
        if (mSize >= mMaxKeys) {
            return new ClaimResult.Full(retentionMillis);
        }
        add(new Entry(claim, true));
        return new ClaimResult.Claimed(claim);
    }

    private static ClaimResult resultForRepeat(Entry entry, ClaimMade claim, long retentionMillis) {
        if (!entry.mClaim.bodyHash().equals(claim.bodyHash())) {
            return new ClaimResult.BodyMismatch();
        }
        if (entry.mOutcome == null && entry.mClaimedHere) {
            return new ClaimResult.InProgress();
        }
        if (claim.wallMillis() - entry.mClaim.wallMillis() >= retentionMillis) {
            return new ClaimResult.Expired();
        }
        if (entry.mOutcome == null) {
            // A former owner sent the request, so its outcome will never be known.
            return new ClaimResult.Settled(unknownOutcome(entry.mClaim));
        }
        return new ClaimResult.Settled(entry.mOutcome);
    }

    /**
     * Records the outcome of a claimed request. A key whose request has not run becomes free again.
     *
     * @return the event to write to the journal; without the body if that is too large to store
     */
    public ClaimSettled recordOutcome(ClaimSettled outcome) {
        boolean isTooLarge = outcome.body().length > MAX_STORED_BODY_BYTES;
        ClaimSettled stored = isTooLarge ? withoutBody(outcome) : outcome;
        storeOutcome(stored);
        return stored;
    }

    private void storeOutcome(ClaimSettled outcome) {
        if (outcome.verdict() == Verdict.NOT_RUN) {
            remove(outcome.customer(), outcome.key());
            return;
        }
        Entry entry = find(outcome.customer(), outcome.key());
        if (entry == null) {
            return;
        }
        mBodyBytes += outcome.body().length - entry.bodyBytes();
        entry.mOutcome = outcome;
        if (entry.bodyBytes() > 0) {
            mEntriesWithBody.add(entry);
        }
        evictOldBodies();
    }

    private void evictOldBodies() {
        while (mBodyBytes > mMaxBodyBytes && !mEntriesWithBody.isEmpty()) {
            Entry entry = mEntriesWithBody.remove();
            mBodyBytes -= entry.bodyBytes();
            if (entry.mOutcome != null) {
                entry.mOutcome = withoutBody(entry.mOutcome);
            }
        }
    }

    private void add(Entry entry) {
        ClaimMade claim = entry.mClaim;
        remove(claim.customer(), claim.key());
        mEntriesByCustomer
                .computeIfAbsent(claim.customer(), unused -> new LinkedHashMap<>())
                .put(claim.key(), entry);
        mSize++;
    }

    private @Nullable Entry find(String customer, String key) {
        Map<String, Entry> entries = mEntriesByCustomer.get(customer);
        return entries == null ? null : entries.get(key);
    }

    private void remove(String customer, String key) {
        Map<String, Entry> entries = mEntriesByCustomer.get(customer);
        Entry entry = entries == null ? null : entries.remove(key);
        if (entry != null) {
            subtractFromTotals(entry);
        }
    }

    private void subtractFromTotals(Entry entry) {
        mSize--;
        mBodyBytes -= entry.bodyBytes();
        if (entry.bodyBytes() > 0) {
            mEntriesWithBody.remove(entry);
        }
    }

    private void evictExpired(String customer, long nowMillis) {
        Map<String, Entry> entries = mEntriesByCustomer.get(customer);
        if (entries == null) {
            return;
        }
        long evictAfterMillis = 2 * mRetentionMillis.applyAsLong(customer);
        Iterator<Entry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry entry = oldestFirst.next();
            boolean isInProgress = entry.mOutcome == null && entry.mClaimedHere;
            if (isInProgress || nowMillis - entry.mClaim.wallMillis() < evictAfterMillis) {
                return;
            }
            oldestFirst.remove();
            subtractFromTotals(entry);
        }
    }

    /** Returns events that restore the current state, to be stored in a snapshot. */
    public List<ShardEvent> snapshotEvents() {
        List<ShardEvent> events = new ArrayList<>();
        mEntriesByCustomer
                .values()
                .forEach(entries -> entries.values().forEach(e -> e.appendEvents(events)));
        return events;
    }

    /** Returns the number of keys. */
    public int size() {
        return mSize;
    }

    private static ClaimSettled unknownOutcome(ClaimMade claim) {
        return new ClaimSettled(
                claim.customer(),
                claim.key(),
                Verdict.MAY_HAVE_RUN,
                NO_STORED_ANSWER,
                EMPTY,
                claim.wallMillis());
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
        private final ClaimMade mClaim;
        // Whether the claim was made by this process, which will therefore record its outcome.
        private final boolean mClaimedHere;
        private @Nullable ClaimSettled mOutcome;

        Entry(ClaimMade claim, boolean claimedHere) {
            mClaim = claim;
            mClaimedHere = claimedHere;
        }

        void appendEvents(List<ShardEvent> events) {
            events.add(mClaim);
            if (mOutcome != null) {
                events.add(mOutcome);
            }
        }

        int bodyBytes() {
            return mOutcome == null ? 0 : mOutcome.body().length;
        }
    }
}
