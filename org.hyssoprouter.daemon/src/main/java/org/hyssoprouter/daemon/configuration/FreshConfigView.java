package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Option;
import org.hyssoprouter.internal.config.ConfigHolder;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.util.MonotonicClock;

/**
 * The configuration as long as this daemon knows that it is the newest. After a pause, or cut off
 * from the table and from every peer, it gives none, and the daemon decides nothing until it has
 * read again.
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
     * @param maxAgeMillis age of the last check from which the configuration is not used
     */
    public FreshConfigView(ConfigHolder holder, MonotonicClock clock, long maxAgeMillis) {
        mHolder = holder;
        mClock = clock;
        mMaxAgeMillis = maxAgeMillis;
        mLastCheckMillis = clock.millis();
    }

    /** Notes that a check begun at {@code startedMillis} showed nothing newer than is applied. */
    public synchronized void recordCheck(long startedMillis) {
        mLastCheckMillis = Math.max(mLastCheckMillis, startedMillis);
    }

    /** Returns the age of the last check in milliseconds. */
    public synchronized long millisSinceCheck() {
        return mClock.millis() - mLastCheckMillis;
    }

    @Override
    public Option<EffectiveConfig> current() {
        return millisSinceCheck() > mMaxAgeMillis ? Option.none() : mHolder.current();
    }
}
