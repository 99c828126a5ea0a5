package org.hyssoprouter.lib;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Amount of each resource that a task needs or a worker has.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryBytes memory in bytes
 * @param accelerators whole accelerators
 * @since 0.1
 */
public record Room(long cpuMillis, long memoryBytes, int accelerators) {
    /** No room at all. */
    public static final Room NONE = new Room(0, 0, 0);

    /** Returns the sum of this room and {@code other}. */
    public Room plus(Room other) {
        return new Room(
                cpuMillis + other.cpuMillis,
                memoryBytes + other.memoryBytes,
                accelerators + other.accelerators);
    }

    /** Returns this room less {@code other}; a component may become negative. */
    public Room minus(Room other) {
        return new Room(
                cpuMillis - other.cpuMillis,
                memoryBytes - other.memoryBytes,
                accelerators - other.accelerators);
    }

    /** Returns the larger of each component. */
    public Room max(Room other) {
        return new Room(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryBytes, other.memoryBytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether this room fits into {@code free}. */
    public boolean fitsIn(Room free) {
        return cpuMillis <= free.cpuMillis
                && memoryBytes <= free.memoryBytes
                && accelerators <= free.accelerators;
    }

    /** Returns whether any component is below zero. */
    @JsonIgnore
    public boolean isNegative() {
        return cpuMillis < 0 || memoryBytes < 0 || accelerators < 0;
    }
}
