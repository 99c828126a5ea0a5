package org.hyssoprouter.internal.journal;

import io.vavr.control.Option;

/**
 * Encodes and decodes the daemon's heartbeat row, which every group writes with a new sequence.
 *
 * @since 0.1
 */
public interface HeartbeatRow {
    /** Returns the key of the row. */
    String key();

    /** Returns the value of the row for the group with that sequence. */
    byte[] encode(long sequence);

    /** Returns the sequence in the row's value, or none if another incarnation wrote it. */
    Option<Long> sequenceOf(byte[] value);
}
