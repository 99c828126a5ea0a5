package org.hyssoprouter.internal.workflow;

/**
 * Relation of the owner's clock to the clock of the table store, which all owners share.
 *
 * @param millis time to add to the owner's clock, in milliseconds
 * @param known whether the store has told its time
 * @since 0.3
 */
public record StoreOffset(long millis, boolean known) {
    /** The owner's clock is that of the store. */
    public static final StoreOffset NONE = new StoreOffset(0, true);

    /** The store has not told its time. */
    public static final StoreOffset UNKNOWN = new StoreOffset(0, false);

    private static final long NO_TIME = 0;

    /** Converts a time for a row; 0 if it is unknown. */
    long toStoreMillis(long ownerMillis) {
        return known && ownerMillis != Task.NOT_BEGUN ? ownerMillis + millis : NO_TIME;
    }

    /** Converts a time of a row; {@link Task#NOT_BEGUN} if it is unknown or lies ahead. */
    long toOwnerMillis(long storeMillis, long nowMillis) {
        long ownerMillis = storeMillis - millis;
        return known && storeMillis != NO_TIME && ownerMillis <= nowMillis
                ? ownerMillis
                : Task.NOT_BEGUN;
    }
}
