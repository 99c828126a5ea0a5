package org.hyssoprouter.internal.journal;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Writes all changes of a daemon to the table, in groups. A group is one transaction with the parts
 * collected during a short time. It also checks the version of the daemon's heartbeat row and
 * increments the sequence in it: after a lost reply the sequence shows whether the group was
 * committed, and the version check prevents a delayed copy from being committed twice.
 *
 * <p>All methods but {@link #signal}, {@link #addSource}, {@link #removeSource} and {@link
 * #isFenced} must be called on a single thread; see {@link GroupWriterThread}.
 *
 * @since 0.1
 */
public final class GroupWriter {
    private static final long NOTHING_PENDING = Long.MIN_VALUE;

    private final TableService mTable;
    private final HeartbeatRow mHeartbeatRow;
    private final GroupSettings mSettings;
    private final MonotonicClock mClock;
    private final List<WriteSource> mSources = new CopyOnWriteArrayList<>();
    private final AtomicLong mPendingSinceMillis = new AtomicLong(NOTHING_PENDING);
    private final WriteBudget mBudget;
    private volatile Runnable mSignalListener = () -> {};
    private volatile boolean mFenced;

    private boolean mHeartbeatVersionKnown;
    private long mHeartbeatVersion;
    private long mSequence;
    private long mLastCommitMillis;
    // Groups sent since the last commit; the parts of each are a subset of the previous one's.
    private final List<WriteGroup> mAttempted = new ArrayList<>();
    private final Deque<GroupPart> mDeferred = new ArrayDeque<>();
    private long mGroupStartedMillis;
    private boolean mMayHaveCommitted;
    private boolean mReadBackRequired;

    /**
     * Creates a writer. Its first steps read the heartbeat row and then commit a heartbeat at once.
     */
    public GroupWriter(
            TableService table,
            HeartbeatRow heartbeatRow,
            GroupSettings settings,
            MonotonicClock clock) {
        mTable = table;
        mHeartbeatRow = heartbeatRow;
        mSettings = settings;
        mClock = clock;
        mLastCommitMillis = clock.millis() - settings.heartbeatMillis();
        mBudget = new WriteBudget(settings.writesPerSecond(), clock.millis());
    }

    /** Adds a source of parts; the source that was added last is queried first. */
    public void addSource(WriteSource source) {
        mSources.add(0, source);
    }

    /** Removes a source; its parts in flight are still completed. */
    public void removeSource(WriteSource source) {
        mSources.remove(source);
    }

    /** Signals that a source has parts to write; never blocks, may be called under a lock. */
    public void signal() {
        if (mPendingSinceMillis.compareAndSet(NOTHING_PENDING, mClock.millis())) {
            mSignalListener.run();
        }
    }

    /** Returns whether a newer incarnation of this daemon now writes the heartbeat row. */
    public boolean isFenced() {
        return mFenced;
    }

    void setSignalListener(Runnable listener) {
        mSignalListener = listener;
    }

    /**
     * Performs the next action that is due, with at most one call to the table.
     *
     * @return time in milliseconds until the next step, unless {@link #signal} is called before
     */
    public long step() {
        mSources.forEach(WriteSource::expire);
        if (mFenced) {
            failAllParts();
            return mSettings.heartbeatMillis();
        }
        if (!mHeartbeatVersionKnown) {
            return readHeartbeatVersion();
        }
        if (mReadBackRequired) {
            return readBack();
        }
        if (!mAttempted.isEmpty()) {
            return send();
        }
        long waitMillis = waitMillis(mClock.millis());
        if (waitMillis > 0) {
            return waitMillis;
        }
        formGroup();
        return send();
    }

    private long waitMillis(long nowMillis) {
        // The write budget doesn't delay heartbeats: without them the daemon would lose its shards.
        long untilHeartbeatMillis = mLastCommitMillis + mSettings.heartbeatMillis() - nowMillis;
        long pendingSinceMillis = mPendingSinceMillis.get();
        if (pendingSinceMillis == NOTHING_PENDING && mDeferred.isEmpty()) {
            return untilHeartbeatMillis;
        }
        long untilGroupMillis =
                Math.max(pendingSinceMillis, 0) + mSettings.groupMillis() - nowMillis;
        return Math.min(
                untilHeartbeatMillis, Math.max(untilGroupMillis, mBudget.waitMillis(nowMillis)));
    }

    private long readHeartbeatVersion() {
        Either<TableError, List<Row>> rows = mTable.read(List.of(mHeartbeatRow.key()));
        if (rows.isLeft()) {
            return mSettings.retryMillis();
        }
        Option<Row> row = Option.ofOptional(rows.get().stream().findFirst());
        mHeartbeatVersion = row.map(Row::version).getOrElse(Transaction.ABSENT);
        mHeartbeatVersionKnown = true;
        return 0;
    }

    private void formGroup() {
        mPendingSinceMillis.set(NOTHING_PENDING);
        WriteGroup group = newGroup();
        // Parts of the sources precede deferred parts: in a group, a journal's check of its shard's
        // row must not follow a write of that row.
        List<GroupPart> parts = new ArrayList<>();
        mSources.forEach(source -> parts.addAll(source.takeParts()));
        parts.addAll(mDeferred);
        mDeferred.clear();
        for (GroupPart part : parts) {
            if (!group.add(part)) {
                mDeferred.add(part);
            }
        }
        mAttempted.add(group);
        mGroupStartedMillis = mClock.millis();
        mMayHaveCommitted = false;
    }

    private WriteGroup newGroup() {
        return new WriteGroup(++mSequence, mHeartbeatRow, mHeartbeatVersion);
    }

    private WriteGroup currentGroup() {
        return mAttempted.get(mAttempted.size() - 1);
    }

    private long send() {
        if (!mMayHaveCommitted) {
            mGroupStartedMillis = mClock.millis();
        }
        WriteGroup group = currentGroup();
        mBudget.consume(group.transaction().writes().size());
        Either<TableError, Long> result = mTable.commit(group.transaction());
        if (result.isRight()) {
            return completeGroup(group, result.get());
        }
        TableError error = result.getLeft();
        return switch (error.kind()) {
            case CONFLICT -> handleConflict(error);
            case UNKNOWN -> handleLostReply();
            case UNAVAILABLE, REJECTED, BUSY -> handleUnavailable(error);
        };
    }

    private long handleLostReply() {
        mMayHaveCommitted = true;
        mReadBackRequired = true;
        return 0;
    }

    private long handleUnavailable(TableError error) {
        if (mMayHaveCommitted) {
            mReadBackRequired = true;
            return mSettings.retryMillis();
        }
        // The group did not reach the table, so its parts return to their sources.
        List<GroupPart> parts = currentGroup().parts();
        mAttempted.clear();
        parts.forEach(part -> part.complete(Either.left(error)));
        mPendingSinceMillis.compareAndSet(NOTHING_PENDING, mClock.millis());
        return mSettings.retryMillis();
    }

    private long handleConflict(TableError error) {
        String key = error.key();
        if (key == null || key.equals(mHeartbeatRow.key())) {
            mReadBackRequired = true;
            return 0;
        }
        WriteGroup group = currentGroup();
        WriteGroup remaining = newGroup();
        List<GroupPart> conflicting = new ArrayList<>();
        for (GroupPart part : group.parts()) {
            if (WriteGroup.checks(part, key) || !remaining.add(part)) {
                conflicting.add(part);
            }
        }
        if (!mMayHaveCommitted) {
            mAttempted.clear();
        }
        mAttempted.add(remaining);
        if (!mMayHaveCommitted) {
            // Otherwise an earlier copy may still be committed, and the outcome of these parts is
            // known only when one of the attempted groups has been committed.
            conflicting.forEach(part -> part.complete(Either.left(error)));
        }
        return 0;
    }

    private long readBack() {
        Either<TableError, List<Row>> rows = mTable.read(List.of(mHeartbeatRow.key()));
        if (rows.isLeft()) {
            return mSettings.retryMillis();
        }
        mReadBackRequired = false;
        Option<Row> row = Option.ofOptional(rows.get().stream().findFirst());
        long version = row.map(Row::version).getOrElse(Transaction.ABSENT);
        if (version == mHeartbeatVersion) {
            // Not committed yet. The same transaction is sent again: the version check lets only
            // one copy commit.
            return 0;
        }
        long sequence = row.flatMap(r -> mHeartbeatRow.sequenceOf(r.value())).getOrElse(-1L);
        for (WriteGroup group : mAttempted) {
            if (group.sequence() == sequence) {
                return completeGroup(group, version);
            }
        }
        mFenced = true;
        return 0;
    }

    private long completeGroup(WriteGroup group, long version) {
        CommitReceipt receipt = new CommitReceipt(version, mGroupStartedMillis);
        List<GroupPart> parts = mAttempted.get(0).parts();
        mAttempted.clear();
        mReadBackRequired = false;
        mHeartbeatVersion = version;
        mLastCommitMillis = receipt.startedMillis();
        for (GroupPart part : parts) {
            boolean isCommitted = group.parts().contains(part);
            part.complete(isCommitted ? Either.right(receipt) : Either.left(conflictError(part)));
        }
        return 0;
    }

    private static TableError conflictError(GroupPart part) {
        List<Transaction.Check> checks = part.transaction().checks();
        return TableError.conflict(checks.isEmpty() ? "" : checks.get(0).key());
    }

    private void failAllParts() {
        TableError error = TableError.conflict(mHeartbeatRow.key());
        List<GroupPart> parts = new ArrayList<>(mDeferred);
        mDeferred.clear();
        if (!mAttempted.isEmpty()) {
            parts.addAll(mAttempted.get(0).parts());
            mAttempted.clear();
        }
        mSources.forEach(source -> parts.addAll(source.takeParts()));
        parts.forEach(part -> part.complete(Either.left(error)));
    }
}
