package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.journal.Journal;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.OwnershipConfirmation;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.jspecify.annotations.Nullable;

/**
 * State of a shard that this daemon owns under one epoch, from the takeover to the release. Changed
 * by the poll thread, except the row, which the writer's thread updates after a snapshot.
 */
final class ShardHolding {
    private final Journal mJournal;
    private final OwnershipConfirmation mConfirmation;
    private volatile ShardRow mRow;
    private volatile @Nullable OwnedShard mShard;
    private volatile boolean mReleased;

    ShardHolding(ShardRow row, Journal journal, OwnershipConfirmation confirmation) {
        mRow = row;
        mJournal = journal;
        mConfirmation = confirmation;
    }

    ShardRow row() {
        return mRow;
    }

    void updateRow(ShardRow row, long version) {
        mRow = row;
        mJournal.setRowVersion(version);
    }

    Journal journal() {
        return mJournal;
    }

    OwnershipConfirmation confirmation() {
        return mConfirmation;
    }

    @Nullable OwnedShard shard() {
        return mShard;
    }

    boolean isReleased() {
        return mReleased;
    }

    ShardContext context() {
        return new ShardContext(mRow.shard(), mRow.region(), mRow.epoch(), mJournal, mConfirmation);
    }

    void setShard(OwnedShard shard) {
        mShard = shard;
    }

    /** Revokes the confirmation first, then closes the journal, then stops the shard. */
    void release() {
        mReleased = true;
        mConfirmation.revoke();
        mJournal.close();
        OwnedShard shard = mShard;
        if (shard != null) {
            shard.stop();
        }
    }
}
