package org.hyssoprouter.bench;

/**
 * Options of a measurement.
 *
 * @param seed seed of all random choices
 * @param seconds duration of the load, in seconds
 * @since 0.1
 */
public record MeasureOptions(long seed, int seconds) {}
