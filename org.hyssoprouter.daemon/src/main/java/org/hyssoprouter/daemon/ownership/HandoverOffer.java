package org.hyssoprouter.daemon.ownership;

import org.hyssoprouter.internal.ownership.ShardRow;

/**
 * Offer of a shard to its new owner, which with the events doesn't have to read the history from
 * the table. Also sent to the other daemons, without events, to notify them of a new owner.
 *
 * @param row current row of the shard
 * @param rowVersion version of the row
 * @param lastSequence sequence of the newest journal row
 * @param events complete durable history, encoded like a journal row; empty if the new owner has to
 *     read it from the table
 * @since 0.1
 */
public record HandoverOffer(ShardRow row, long rowVersion, long lastSequence, byte[] events) {
    /** Returns an offer of the same history with a newer row. */
    HandoverOffer withRow(ShardRow newRow, long newVersion) {
        return new HandoverOffer(newRow, newVersion, lastSequence, events);
    }

    /**
     * Answer to the offer.
     *
     * @param welcome whether the receiver adopts the shard; false if it is stopping or the row does
     *     not name it
     */
    public record Answer(boolean welcome) {}
}
