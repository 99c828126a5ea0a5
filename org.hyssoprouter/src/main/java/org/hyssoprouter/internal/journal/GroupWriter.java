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
 * <p>All methods but {@link #signal}, {@link #addLane}, {@link #removeLane} and {@link #isFenced}
 * are for one thread, see {@link GroupWriterThread}.
 *
 * @since 0.1
 */
public final class GroupWriter {
    private static final long NO_WORK = Long.MIN_VALUE;

    private final TableService mTable;
    private final OwnRow mOwnRow;
    private final GroupSettings mSettings;
    private final MonotonicClock mClock;
    private final List<WriteLane> mLanes = new CopyOnWriteArrayList<>();
    private final AtomicLong mWorkSinceMillis = new AtomicLong(NO_WORK);
    private final WriteBudget mBudget;
    private volatile Runnable mWakeUp = () -> {};
    private volatile boolean mFenced;

    private boolean mOwnVersionKnown;
    private long mOwnVersion;
    private long mSequence;
    private long mLastCommitMillis;
    // Groups tried since the last effect, each a subset of the one before it.
    private final List<WriteGroup> mTried = new ArrayList<>();
    private final Deque<GroupPart> mDeferred = new ArrayDeque<>();
    private long mFirstSentMillis;
    private boolean mMayHaveTakenEffect;
    private boolean mMustReadBack;

    /** Creates a writer; it reads its own row first and then beats at once. */
    public GroupWriter(
            TableService table, OwnRow ownRow, GroupSettings settings, MonotonicClock clock) {
        mTable = table;
        mOwnRow = ownRow;
        mSettings = settings;
        mClock = clock;
        mLastCommitMillis = clock.millis() - settings.heartbeatMillis();
        mBudget = new WriteBudget(settings.writesPerSecond(), clock.millis());
    }

    /** Adds a source of parts; a lane added later is asked first. */
    public void addLane(WriteLane lane) {
        mLanes.add(0, lane);
    }

    /** Removes a source; its parts in flight are still settled. */
    public void removeLane(WriteLane lane) {
        mLanes.remove(lane);
    }

    /** Says that a lane has something to write; cheap, may be called under a lock. */
    public void signal() {
        if (mWorkSinceMillis.compareAndSet(NO_WORK, mClock.millis())) {
            mWakeUp.run();
        }
    }

    /** Returns whether a newer incarnation of this daemon writes the row now. */
    public boolean isFenced() {
        return mFenced;
    }

    void onWakeUp(Runnable wakeUp) {
        mWakeUp = wakeUp;
    }

    /**
     * Does the next thing that is due, with at most one call to the table.
     *
     * @return time in milliseconds until the next step, if nothing is signalled before
     */
    public long step() {
        mLanes.forEach(WriteLane::expire);
        if (mFenced) {
            failEverything();
            return mSettings.heartbeatMillis();
        }
        if (!mOwnVersionKnown) {
            return readOwnVersion();
        }
        if (mMustReadBack) {
            return readBack();
        }
        if (!mTried.isEmpty()) {
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
        long since = mWorkSinceMillis.get();
        if (since == NO_WORK && mDeferred.isEmpty()) {
            return beatMillis;
        }
        long workMillis = Math.max(since, 0) + mSettings.groupMillis() - nowMillis;
        return Math.min(beatMillis, Math.max(workMillis, mBudget.waitMillis(nowMillis)));
    }

    private long readOwnVersion() {
        Either<TableError, List<Row>> rows = mTable.read(List.of(mOwnRow.key()));
        if (rows.isLeft()) {
            return mSettings.retryMillis();
        }
        Option<Row> row = Option.ofOptional(rows.get().stream().findFirst());
        mOwnVersion = row.map(Row::version).getOrElse(Transaction.ABSENT);
        mOwnVersionKnown = true;
        return 0;
    }

    private void formGroup() {
        mWorkSinceMillis.set(NO_WORK);
        WriteGroup group = newGroup();
        // Lanes go first: a journal's check must not come behind a write of the shard's row.
        List<GroupPart> offered = new ArrayList<>();
        mLanes.forEach(lane -> offered.addAll(lane.take()));
        offered.addAll(mDeferred);
        mDeferred.clear();
        for (GroupPart part : offered) {
            if (!group.add(part)) {
                mDeferred.add(part);
            }
        }
        mTried.add(group);
        mFirstSentMillis = mClock.millis();
        mMayHaveTakenEffect = false;
    }

    private WriteGroup newGroup() {
        return new WriteGroup(++mSequence, mOwnRow, mOwnVersion);
    }

    private WriteGroup current() {
        return mTried.get(mTried.size() - 1);
    }

    private long send() {
        if (!mMayHaveTakenEffect) {
            mFirstSentMillis = mClock.millis();
        }
        WriteGroup group = current();
        mBudget.spend(group.transaction().writes().size());
        Either<TableError, Long> result = mTable.commit(group.transaction());
        if (result.isRight()) {
            return tookEffect(group, result.get());
        }
        TableError error = result.getLeft();
        return switch (error.kind()) {
            case CONFLICT -> refused(error);
            case UNKNOWN -> replyLost();
            case UNAVAILABLE, BUSY -> unavailable(error);
        };
    }

    private long replyLost() {
        mMayHaveTakenEffect = true;
        mMustReadBack = true;
        return 0;
    }

    private long unavailable(TableError error) {
        if (mMayHaveTakenEffect) {
            mMustReadBack = true;
            return mSettings.retryMillis();
        }
        // Nothing of the group reached the table, so its parts go back to their lanes.
        List<GroupPart> parts = current().parts();
        mTried.clear();
        parts.forEach(part -> part.settle(Either.left(error)));
        mWorkSinceMillis.compareAndSet(NO_WORK, mClock.millis());
        return mSettings.retryMillis();
    }

    private long refused(TableError error) {
        String key = error.key();
        if (key == null || key.equals(mOwnRow.key())) {
            mMustReadBack = true;
            return 0;
        }
        WriteGroup group = current();
        WriteGroup rest = newGroup();
        List<GroupPart> refused = new ArrayList<>();
        for (GroupPart part : group.parts()) {
            if (WriteGroup.checks(part, key) || !rest.add(part)) {
                refused.add(part);
            }
        }
        if (!mMayHaveTakenEffect) {
            mTried.clear();
        }
        mTried.add(rest);
        if (!mMayHaveTakenEffect) {
            // Otherwise a late copy of the first group decides, until the next one is in.
            refused.forEach(part -> part.settle(Either.left(error)));
        }
        return 0;
    }

    private long readBack() {
        Either<TableError, List<Row>> rows = mTable.read(List.of(mOwnRow.key()));
        if (rows.isLeft()) {
            return mSettings.retryMillis();
        }
        mMustReadBack = false;
        Option<Row> row = Option.ofOptional(rows.get().stream().findFirst());
        long version = row.map(Row::version).getOrElse(Transaction.ABSENT);
        if (version == mOwnVersion) {
            // Not in yet. The same transaction again: only one of the copies can pass its check.
            return 0;
        }
        long sequence = row.flatMap(r -> mOwnRow.sequenceOf(r.value())).getOrElse(-1L);
        for (WriteGroup group : mTried) {
            if (group.sequence() == sequence) {
                return tookEffect(group, version);
            }
        }
        mFenced = true;
        return 0;
    }

    private long tookEffect(WriteGroup group, long version) {
        Committed committed = new Committed(version, mFirstSentMillis);
        List<GroupPart> offered = mTried.get(0).parts();
        mTried.clear();
        mMustReadBack = false;
        mOwnVersion = version;
        mLastCommitMillis = committed.startedMillis();
        for (GroupPart part : offered) {
            boolean isIn = group.parts().contains(part);
            part.settle(isIn ? Either.right(committed) : Either.left(conflictOf(part)));
        }
        return 0;
    }

    private static TableError conflictOf(GroupPart part) {
        List<Transaction.Check> checks = part.transaction().checks();
        return TableError.conflict(checks.isEmpty() ? "" : checks.get(0).key());
    }

    private void failEverything() {
        TableError error = TableError.conflict(mOwnRow.key());
        List<GroupPart> parts = new ArrayList<>(mDeferred);
        mDeferred.clear();
        if (!mTried.isEmpty()) {
            parts.addAll(mTried.get(0).parts());
            mTried.clear();
        }
        mLanes.forEach(lane -> parts.addAll(lane.take()));
        parts.forEach(part -> part.settle(Either.left(error)));
    }
}
