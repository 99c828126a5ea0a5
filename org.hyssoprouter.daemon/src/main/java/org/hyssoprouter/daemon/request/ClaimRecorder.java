package org.hyssoprouter.daemon.request;

import io.vavr.control.Either;
import java.time.Clock;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.ToLongFunction;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.journal.EventLog;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimMade;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;
import org.hyssoprouter.internal.request.ClaimResult;
import org.hyssoprouter.internal.request.IdempotencyKeyStore;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Records the claims of idempotency keys of a shard and their outcomes, in memory and in the
 * journal. Safe for use by several threads.
 */
final class ClaimRecorder {
    private static final int MAX_KEYS = 100_000;
    private static final long MAX_STORED_BODIES_BYTES = 4L * 1024 * 1024;
    private static final byte[] EMPTY = new byte[0];

    private final EventLog mLog;
    private final Clock mClock;
    private final AtomicInteger mOpenWrites = new AtomicInteger();
    private final ReentrantLock mLock = new ReentrantLock();
    // Guarded by mLock.
    private final IdempotencyKeyStore mKeyStore;

    ClaimRecorder(
            EventLog log,
            List<ShardEvent> history,
            Clock clock,
            ToLongFunction<String> retentionMillis) {
        mLog = log;
        mClock = clock;
        mKeyStore = new IdempotencyKeyStore(MAX_KEYS, MAX_STORED_BODIES_BYTES, retentionMillis);
        history.forEach(mKeyStore::apply);
    }

    /** Claims the key of a request in memory, without writing to the journal. */
    ClaimResult claim(RequestOrder order, String key) {
        ClaimMade claim =
                new ClaimMade(
                        order.customer(),
                        key,
                        order.requestId(),
                        contentHash(order),
                        mClock.millis());
        mLock.lock();
        try {
            return mKeyStore.claim(claim);
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Appends a claim to the journal.
     *
     * @param withinMillis time limit of the write in milliseconds
     */
    CompletableFuture<Either<TableError, Boolean>> appendClaim(ClaimMade claim, long withinMillis) {
        return append(claim, withinMillis);
    }

    /**
     * Releases a key whose request has not run and will not be sent again.
     *
     * @param claimMayBeWritten whether the claim may be in the journal, so that its release has to
     *     be appended too
     */
    void release(RequestOrder order, String key, boolean claimMayBeWritten) {
        ClaimSettled outcome =
                createOutcome(
                        order, key, Verdict.NOT_RUN, IdempotencyKeyStore.NO_STORED_ANSWER, EMPTY);
        if (claimMayBeWritten) {
            // The event is appended before the key is free in memory, so that it precedes any later
            // claim of the key in the journal.
            var unused = append(outcome, 0);
        }
        storeOutcome(outcome);
    }

    /** Records the final reply to a sent request, to answer repeated requests with it. */
    void recordReply(RequestOrder order, String key, RequestReply reply) {
        boolean ran = reply.verdict() == Verdict.RAN;
        int status = ran ? reply.status() : IdempotencyKeyStore.NO_STORED_ANSWER;
        byte[] body = ran ? reply.body() : EMPTY;
        ClaimSettled stored =
                storeOutcome(createOutcome(order, key, reply.verdict(), status, body));
        var unused = append(stored, 0);
    }

    private ClaimSettled storeOutcome(ClaimSettled outcome) {
        mLock.lock();
        try {
            return mKeyStore.recordOutcome(outcome);
        } finally {
            mLock.unlock();
        }
    }

    private CompletableFuture<Either<TableError, Boolean>> append(
            ShardEvent event, long withinMillis) {
        mOpenWrites.incrementAndGet();
        return mLog.append(List.of(event), withinMillis)
                .whenComplete((result, failure) -> mOpenWrites.decrementAndGet());
    }

    private ClaimSettled createOutcome(
            RequestOrder order, String key, Verdict verdict, int status, byte[] body) {
        return new ClaimSettled(order.customer(), key, verdict, status, body, mClock.millis());
    }

    /** Returns whether a write to the journal is pending. */
    boolean isWriting() {
        return mOpenWrites.get() > 0;
    }

    List<ShardEvent> snapshotEvents() {
        mLock.lock();
        try {
            return mKeyStore.snapshotEvents();
        } finally {
            mLock.unlock();
        }
    }

    private static String contentHash(RequestOrder order) {
        return HexFormat.of().formatHex(Hashes.sha256(order.service(), order.body()));
    }
}
