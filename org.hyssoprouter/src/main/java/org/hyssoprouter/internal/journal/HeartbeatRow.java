package org.hyssoprouter.internal.journal;

import io.vavr.control.Option;

/**
 * Form of the row that a daemon raises with each of its groups.
 *
 * @since 0.1
 */
public interface HeartbeatRow {
    /** Returns the key of the row. */
    String key();

    /** Returns the content of the row for a group. */
    byte[] encode(long sequence);

    /** Returns the sequence in the row, or none if another incarnation wrote it. */
    Option<Long> sequenceOf(byte[] value);
}
