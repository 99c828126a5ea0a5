package org.hyssoprouter.internal.journal;

import java.util.Locale;

/**
 * Builds and parses the keys of a shard's journal rows and snapshots.
 *
 * @since 0.1
 */
public final class JournalKeys {
    private JournalKeys() {}

    /** Returns the prefix of all journal rows of a shard. */
    public static String prefix(String shard) {
        return "journal/" + escapeSlashes(shard) + "/";
    }

    /** Returns the key of a journal row; keys sort by epoch, then by sequence. */
    public static String row(String shard, long epoch, long sequence) {
        return prefix(shard) + String.format(Locale.ROOT, "%012d/%012d", epoch, sequence);
    }

    /** Parses the sequence from the key of a journal row. */
    public static long sequenceOf(String key) {
        return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    }

    /** Returns the key of a snapshot object. */
    public static String snapshot(String shard, long epoch, long sequence) {
        return "snapshot-" + escapeSlashes(shard) + "-" + epoch + "-" + sequence;
    }

    // A slash in a shard's name would put its rows under the prefix of another shard.
    private static String escapeSlashes(String shard) {
        return shard.replace('/', '~');
    }
}
