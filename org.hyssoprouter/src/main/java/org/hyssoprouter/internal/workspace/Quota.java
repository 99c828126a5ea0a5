package org.hyssoprouter.internal.workspace;

import org.hyssoprouter.lib.Room;

/**
 * Meaning of a quota for all schedulers: an upper bound, in each component, on the room of what
 * runs at the same time. A component of {@link Room#UNLIMITED} is no bound.
 *
 * @since 0.3
 */
public final class Quota {
    /** Bound on results, so that sums over many of them do not overflow. */
    private static final long MAX_TASKS = Long.MAX_VALUE / 1_000_000;

    private Quota() {}

    /**
     * Returns how many tasks of one size may start beside what is in use. None may while any
     * component is exceeded, as after a reduction of the quota.
     */
    public static long remainingTasks(Room task, Room quota, Room used) {
        Room free = quota.minus(used);
        if (free.isNegative()) {
            return 0;
        }
        long count = MAX_TASKS;
        count = Math.min(count, quotient(free.cpuMillis(), task.cpuMillis()));
        count = Math.min(count, quotient(free.memoryBytes(), task.memoryBytes()));
        return Math.min(count, quotient(free.accelerators(), task.accelerators()));
    }

    /** Returns whether a number of tasks of one size may ever run at the same time. */
    public static boolean admits(Room task, int count, Room quota) {
        return remainingTasks(task, quota, Room.NONE) >= count;
    }

    private static long quotient(long free, long size) {
        return size > 0 ? free / size : MAX_TASKS;
    }
}
