package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.ownership.ShardRow;

/**
 * Tells the new owner of a shard that the row names it, and saves it the reading of the history.
 *
 * @param row row of the shard as it is now
 * @param rowVersion version of that row
 * @param lastSequence sequence of the newest journal row
 * @param events whole durable history, encoded as a journal row; empty if it is to be read
 * @since 0.1
 */
public record HandoverOffer(ShardRow row, long rowVersion, long lastSequence, byte[] events) {
    /** Returns the offer of the same state under a newer row. */
    HandoverOffer withRow(ShardRow newRow, long newVersion) {
        return new HandoverOffer(newRow, newVersion, lastSequence, events);
    }

    /**
     * Answer to the offer.
     *
     * @param welcome whether the asked daemon adopts the shard; one that is stopping does not
     */
    public record Answer(boolean welcome) {}
}
