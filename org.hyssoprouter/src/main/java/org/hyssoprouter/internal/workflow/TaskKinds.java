package org.hyssoprouter.internal.workflow;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.jspecify.annotations.Nullable;

/**
 * Numbers the kinds of tasks that are compared with each other: tasks of the same image, or, where
 * a step names none, of the same queue and similar size. The number of kinds is bounded, so that
 * what is learned about all pairs of them stays small.
 */
final class TaskKinds {
    /** Maximum number of kinds; further ones are not learned until one of these is unused. */
    static final int MAX_KINDS = 24;

    /** Time without a run after which the number of a kind may be given to another one. */
    static final long IDLE_MILLIS = 60_000;

    /** Number of a kind that has none. */
    static final int NONE = -1;

    private static final long MILLIS_PER_CORE = 1_000;

    private final Map<String, Integer> mIndexes = new HashMap<>();
    private final @Nullable String[] mNames = new @Nullable String[MAX_KINDS];
    private final long[] mSeenMillis = new long[MAX_KINDS];
    private int mGeneration;

    /** Returns the name of the kind of a step's tasks. */
    static String nameOf(String queue, StepSpec spec) {
        String image = spec.habits().image();
        if (!image.isEmpty()) {
            return image;
        }
        long cores = Math.max(1, spec.room().cpuMillis() / MILLIS_PER_CORE);
        return queue + "/" + Long.highestOneBit(cores) + "-core";
    }

    /** Returns the number of a kind, assigning one if there is any left, else {@link #NONE}. */
    int assign(String kind, long nowMillis) {
        Integer known = mIndexes.get(kind);
        int index = known == null ? reassign(kind, nowMillis) : known;
        if (index != NONE) {
            mSeenMillis[index] = nowMillis;
        }
        return index;
    }

    private int reassign(String kind, long nowMillis) {
        for (int i = 0; i < MAX_KINDS; i++) {
            String former = mNames[i];
            if (former != null && nowMillis - mSeenMillis[i] <= IDLE_MILLIS) {
                continue;
            }
            if (former != null) {
                mIndexes.remove(former);
                mGeneration++;
            }
            mNames[i] = kind;
            mIndexes.put(kind, i);
            return i;
        }
        return NONE;
    }

    /** Returns the number of a kind, or {@link #NONE}. */
    int find(String kind) {
        return mIndexes.getOrDefault(kind, NONE);
    }

    /** Returns the name of the kind with a number, or an empty text. */
    String name(int index) {
        String name = mNames[index];
        return name == null ? "" : name;
    }

    /** Returns a number that changes when a kind's number is given to another kind. */
    int generation() {
        return mGeneration;
    }

    @Override
    public String toString() {
        return Arrays.toString(mNames);
    }
}
