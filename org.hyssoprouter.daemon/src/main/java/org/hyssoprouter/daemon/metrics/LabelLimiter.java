package org.hyssoprouter.daemon.metrics;

import java.util.HashSet;
import java.util.Set;

/**
 * Limits the number of distinct values of a metric label; further values share {@link #OTHER}.
 *
 * @since 0.1
 */
public final class LabelLimiter {
    /** Label value that replaces all values beyond the limit. */
    public static final String OTHER = "other";

    private final Object mLock = new Object();
    private final Set<String> mValues = new HashSet<>();
    private final int mMax;

    /**
     * Creates a limiter.
     *
     * @param max number of distinct values that keep their own label
     */
    public LabelLimiter(int max) {
        mMax = max;
    }

    /** Returns {@code value}, or {@link #OTHER} if the limit was reached before its first use. */
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
