package org.hyssoprouter.transport;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Atomic transaction on the table: version checks and writes.
 *
 * @param checks row versions required for the commit
 * @param writes rows to write or delete
 * @since 0.1
 */
public record Transaction(List<Check> checks, List<Write> writes) {
    /** Version to check for a row that must not exist. */
    public static final long ABSENT = 0;

    /**
     * Condition that a row has a version.
     *
     * @param key key of the row
     * @param version expected version, or {@link #ABSENT}
     */
    public record Check(String key, long version) {}

    /**
     * Write or deletion of a row.
     *
     * @param key key of the row
     * @param value new content, or null to delete the row
     */
    public record Write(String key, byte @Nullable [] value) {}

    /** Returns an empty, modifiable transaction. */
    public static Transaction create() {
        return new Transaction(new ArrayList<>(), new ArrayList<>());
    }

    /** Adds a check and returns this transaction. */
    public Transaction check(String key, long version) {
        checks.add(new Check(key, version));
        return this;
    }

    /** Adds a write and returns this transaction. */
    public Transaction put(String key, byte[] value) {
        writes.add(new Write(key, value));
        return this;
    }

    /** Adds a deletion and returns this transaction. */
    public Transaction delete(String key) {
        writes.add(new Write(key, null));
        return this;
    }
}
