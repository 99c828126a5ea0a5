package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Option;
import org.hyssoprouter.internal.config.ConfigHolder;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Provides the configuration only while a recent check has confirmed that it is the newest. After a
 * process pause, or without access to the table and to all peers, it returns none, and the daemon
 * makes no decisions until the next successful check.
 *
 * @since 0.1
 */
public final class FreshConfigView implements ConfigView {
    private final ConfigHolder mHolder;
    private final MonotonicClock mClock;
    private final long mMaxAgeMillis;
    private long mLastCheckMillis;

    /**
     * Creates the view.
     *
     * @param maxAgeMillis maximum age of the last check at which the configuration is still used
     */
    public FreshConfigView(ConfigHolder holder, MonotonicClock clock, long maxAgeMillis) {
        mHolder = holder;
        mClock = clock;
        mMaxAgeMillis = maxAgeMillis;
        mLastCheckMillis = clock.millis();
    }

    /**
     * Records a check that found no version newer than the applied one.
     *
     * @param startedMillis monotonic time at which the check began
     */
    public synchronized void recordCheck(long startedMillis) {
        mLastCheckMillis = Math.max(mLastCheckMillis, startedMillis);
    }

    /** Returns the time since the start of the last check in milliseconds. */
    public synchronized long millisSinceCheck() {
        return mClock.millis() - mLastCheckMillis;
    }

    @Override
    public Option<EffectiveConfig> current() {
        return millisSinceCheck() > mMaxAgeMillis ? Option.none() : mHolder.current();
    }
}
