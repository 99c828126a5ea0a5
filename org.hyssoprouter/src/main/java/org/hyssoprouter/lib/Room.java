package org.hyssoprouter.lib;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Vector of resource amounts: the demand of a task, or the capacity of a worker.
 *
 * @param cpuMillis thousandths of a processor core
 * @param memoryBytes memory in bytes
 * @param accelerators number of whole accelerators
 * @since 0.1
 */
public record Room(long cpuMillis, long memoryBytes, int accelerators) {
    /** Zero of every resource. */
    public static final Room NONE = new Room(0, 0, 0);

    /** More than any worker or pool has, as the quota of a workspace without limits. */
    public static final Room UNLIMITED =
            new Room(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE);

    /** Returns the component-wise sum of this and {@code other}. */
    public Room plus(Room other) {
        return new Room(
                cpuMillis + other.cpuMillis,
                memoryBytes + other.memoryBytes,
                accelerators + other.accelerators);
    }

    /** Returns the component-wise difference; a component may become negative. */
    public Room minus(Room other) {
        return new Room(
                cpuMillis - other.cpuMillis,
                memoryBytes - other.memoryBytes,
                accelerators - other.accelerators);
    }

    /** Returns the component-wise maximum. */
    public Room max(Room other) {
        return new Room(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryBytes, other.memoryBytes),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns whether no component exceeds that of {@code free}. */
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
