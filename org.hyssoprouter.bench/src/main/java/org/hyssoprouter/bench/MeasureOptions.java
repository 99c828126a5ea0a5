package org.hyssoprouter.bench;

/**
 * Options of a measurement.
 *
 * @param seed seed of everything random in it
 * @param seconds time to load the cell, in seconds
 * @since 0.1
 */
public record MeasureOptions(long seed, int seconds) {}
