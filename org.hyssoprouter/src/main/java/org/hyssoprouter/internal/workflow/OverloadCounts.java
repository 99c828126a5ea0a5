package org.hyssoprouter.internal.workflow;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/**
 * Preemptions of a time span by cause, and steps for which no task was stopped.
 *
 * @since 0.3
 */
public final class OverloadCounts {
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MILLIS_PER_CORE = 1_000;

    private final Map<Cause, Integer> mCounts = new EnumMap<>(Cause.class);
    private long mLostCoreMillis;

    /** Why a task was stopped for a step, or why none was. */
    public enum Cause {
        /** A task was stopped for a gang. */
        FOR_GANG,
        /** A task was stopped for a step that would else have missed its objective. */
        FOR_TASKS,
        /** The step is late anyway. */
        TOO_LATE,
        /** The step is expected to have room in time by itself. */
        ROOM_IN_TIME,
        /** The pool has spent the share of its time that stops and restarts may take. */
        BUDGET_SPENT
    }

    void add(Cause cause) {
        mCounts.merge(cause, 1, Integer::sum);
    }

    void addPreemption(boolean gang, long lostCoreMillis) {
        add(gang ? Cause.FOR_GANG : Cause.FOR_TASKS);
        mLostCoreMillis += lostCoreMillis;
    }

    /** Returns the counts by cause; without those that are 0. */
    public Map<Cause, Integer> counts() {
        return Collections.unmodifiableMap(mCounts);
    }

    /** Returns the core time that stops and restarts take, in core-seconds. */
    public long lostCoreSeconds() {
        return mLostCoreMillis / MILLIS_PER_SECOND / MILLIS_PER_CORE;
    }

    /** Returns whether nothing was counted. */
    public boolean isEmpty() {
        return mCounts.isEmpty();
    }
}
