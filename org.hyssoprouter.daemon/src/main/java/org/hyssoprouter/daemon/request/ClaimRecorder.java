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

/** The claims of a shard: the book under its lock, and its events in the journal. */
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

    /** Claims the key of a request in memory. */
    ClaimResult claim(RequestOrder order, String key) {
        ClaimMade wanted =
                new ClaimMade(
                        order.customer(),
                        key,
                        order.requestId(),
                        contentHash(order),
                        mClock.millis());
        mLock.lock();
        try {
            return mKeyStore.claim(wanted);
        } finally {
            mLock.unlock();
        }
    }

    /** Writes a claim to the journal. */
    CompletableFuture<Either<TableError, Boolean>> appendClaim(ClaimMade claim, long withinMillis) {
        return append(claim, withinMillis);
    }

    /** Frees a key whose request was not sent and never will be. */
    void release(RequestOrder order, String key, boolean claimMayBeWritten) {
        ClaimSettled outcome =
                createOutcome(
                        order, key, Verdict.NOT_RUN, IdempotencyKeyStore.NO_STORED_ANSWER, EMPTY);
        if (claimMayBeWritten) {
            // Appended before the key is free in memory, so that a later claim of it comes after.
            var unused = append(outcome, 0);
        }
        storeOutcome(outcome);
    }

    /** Keeps the final answer of a sent request for repeats. */
    void recordReply(RequestOrder order, String key, RequestReply reply) {
        boolean ran = reply.verdict() == Verdict.RAN;
        int status = ran ? reply.status() : IdempotencyKeyStore.NO_STORED_ANSWER;
        byte[] body = ran ? reply.body() : EMPTY;
        ClaimSettled kept = storeOutcome(createOutcome(order, key, reply.verdict(), status, body));
        var unused = append(kept, 0);
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

    /** Returns whether writes to the journal are not finished. */
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
