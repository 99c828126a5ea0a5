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
 * The only writer of a daemon. Sends everything of a short time in one transaction that also checks
 * and raises the daemon's own row, whose sequence therefore tells after a lost reply whether the
 * group took effect, and whose version keeps a late copy of it from taking effect twice.
 *
 * <p>All methods but {@link #signal}, {@link #addSource}, {@link #removeSource} and {@link
 * #isFenced} are for one thread, see {@link GroupWriterThread}.
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
    // Groups tried since the last effect, each a subset of the one before it.
    private final List<WriteGroup> mAttempted = new ArrayList<>();
    private final Deque<GroupPart> mDeferred = new ArrayDeque<>();
    private long mFirstSentMillis;
    private boolean mMayHaveCommitted;
    private boolean mReadBackRequired;

    /** Creates a writer; it reads its own row first and then beats at once. */
    public GroupWriter(
            TableService table, HeartbeatRow ownRow, GroupSettings settings, MonotonicClock clock) {
        mTable = table;
        mHeartbeatRow = ownRow;
        mSettings = settings;
        mClock = clock;
        mLastCommitMillis = clock.millis() - settings.heartbeatMillis();
        mBudget = new WriteBudget(settings.writesPerSecond(), clock.millis());
    }

    /** Adds a source of parts; a lane added later is asked first. */
    public void addSource(WriteSource lane) {
        mSources.add(0, lane);
    }

    /** Removes a source; its parts in flight are still settled. */
    public void removeSource(WriteSource lane) {
        mSources.remove(lane);
    }

    /** Says that a lane has something to write; cheap, may be called under a lock. */
    public void signal() {
        if (mPendingSinceMillis.compareAndSet(NOTHING_PENDING, mClock.millis())) {
            mSignalListener.run();
        }
    }

    /** Returns whether a newer incarnation of this daemon writes the row now. */
    public boolean isFenced() {
        return mFenced;
    }

    void setSignalListener(Runnable wakeUp) {
        mSignalListener = wakeUp;
    }

    /**
     * Does the next thing that is due, with at most one call to the table.
     *
     * @return time in milliseconds until the next step, if nothing is signalled before
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
        // The heartbeat is not held back by the budget: without it the shards would be lost.
        long beatMillis = mLastCommitMillis + mSettings.heartbeatMillis() - nowMillis;
        long since = mPendingSinceMillis.get();
        if (since == NOTHING_PENDING && mDeferred.isEmpty()) {
            return beatMillis;
        }
        long workMillis = Math.max(since, 0) + mSettings.groupMillis() - nowMillis;
        return Math.min(beatMillis, Math.max(workMillis, mBudget.waitMillis(nowMillis)));
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
        // Lanes go first: a journal's check must not come behind a write of the shard's row.
        List<GroupPart> offered = new ArrayList<>();
        mSources.forEach(lane -> offered.addAll(lane.takeParts()));
        offered.addAll(mDeferred);
        mDeferred.clear();
        for (GroupPart part : offered) {
            if (!group.add(part)) {
                mDeferred.add(part);
            }
        }
        mAttempted.add(group);
        mFirstSentMillis = mClock.millis();
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
            mFirstSentMillis = mClock.millis();
        }
        WriteGroup group = currentGroup();
        mBudget.spend(group.transaction().writes().size());
        Either<TableError, Long> result = mTable.commit(group.transaction());
        if (result.isRight()) {
            return completeGroup(group, result.get());
        }
        TableError error = result.getLeft();
        return switch (error.kind()) {
            case CONFLICT -> handleConflict(error);
            case UNKNOWN -> handleLostReply();
            case UNAVAILABLE, BUSY -> handleUnavailable(error);
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
        // Nothing of the group reached the table, so its parts go back to their lanes.
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
        WriteGroup rest = newGroup();
        List<GroupPart> refused = new ArrayList<>();
        for (GroupPart part : group.parts()) {
            if (WriteGroup.checks(part, key) || !rest.add(part)) {
                refused.add(part);
            }
        }
        if (!mMayHaveCommitted) {
            mAttempted.clear();
        }
        mAttempted.add(rest);
        if (!mMayHaveCommitted) {
            // Otherwise a late copy of the first group decides, until the next one is in.
            refused.forEach(part -> part.complete(Either.left(error)));
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
            // Not in yet. The same transaction again: only one of the copies can pass its check.
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
        CommitReceipt committed = new CommitReceipt(version, mFirstSentMillis);
        List<GroupPart> offered = mAttempted.get(0).parts();
        mAttempted.clear();
        mReadBackRequired = false;
        mHeartbeatVersion = version;
        mLastCommitMillis = committed.startedMillis();
        for (GroupPart part : offered) {
            boolean isIn = group.parts().contains(part);
            part.complete(isIn ? Either.right(committed) : Either.left(conflictError(part)));
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
        mSources.forEach(lane -> parts.addAll(lane.takeParts()));
        parts.forEach(part -> part.complete(Either.left(error)));
    }
}
