package org.hyssoprouter.transport;

/**
 * A row of the table service.
 *
 * @param key key
 * @param version version, greater than 0 and increased by each write of the row
 * @param value content
 * @since 0.1
 */
public record Row(String key, long version, byte[] value) {}
