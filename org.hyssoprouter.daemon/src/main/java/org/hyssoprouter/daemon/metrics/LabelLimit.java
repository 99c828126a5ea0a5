package org.hyssoprouter.daemon.metrics;

import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the number of values of a label; later values share {@link #OTHER}.
 *
 * @since 0.1
 */
public final class LabelLimit {
    /** Value that stands for all beyond the bound. */
    public static final String OTHER = "other";

    private final Object mLock = new Object();
    private final Set<String> mKnown = new HashSet<>();
    private final int mMax;

    /**
     * Creates a bound.
     *
     * @param max distinct values that are kept apart
     */
    public LabelLimit(int max) {
        mMax = max;
    }

    /** Returns the value itself, or {@link #OTHER} when too many others came before it. */
    public String label(String value) {
        synchronized (mLock) {
            if (mKnown.contains(value)) {
                return value;
            }
            if (mKnown.size() >= mMax) {
                return OTHER;
            }
            mKnown.add(value);
            return value;
        }
    }
}
