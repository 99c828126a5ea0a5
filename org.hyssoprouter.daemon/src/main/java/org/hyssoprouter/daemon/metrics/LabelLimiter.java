package org.hyssoprouter.daemon.metrics;

import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the number of values of a label; later values share {@link #OTHER}.
 *
 * @since 0.1
 */
public final class LabelLimiter {
    /** Value that stands for all beyond the bound. */
    public static final String OTHER = "other";

    private final Object mLock = new Object();
    private final Set<String> mValues = new HashSet<>();
    private final int mMax;

    /**
     * Creates a bound.
     *
     * @param max distinct values that are kept apart
     */
    public LabelLimiter(int max) {
        mMax = max;
    }

    /** Returns the value itself, or {@link #OTHER} when too many others came before it. */
    public String limit(String value) {
        synchronized (mLock) {
            if (mValues.contains(value)) {
                return value;
            }
            if (mValues.size() >= mMax) {
                return OTHER;
            }
            mValues.add(value);
            return value;
        }
    }
}
