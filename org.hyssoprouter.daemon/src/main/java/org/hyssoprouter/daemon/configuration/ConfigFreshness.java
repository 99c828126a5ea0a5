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
public final class ConfigFreshness implements ConfigView {
    private final ConfigHolder mHolder;
    private final MonotonicClock mClock;
    private final long mMaxAgeMillis;
    private long mCheckedMillis;

    /**
     * Creates the view.
     *
     * @param maxAgeMillis age of the last check from which the configuration is not used
     */
    public ConfigFreshness(ConfigHolder holder, MonotonicClock clock, long maxAgeMillis) {
        mHolder = holder;
        mClock = clock;
        mMaxAgeMillis = maxAgeMillis;
        mCheckedMillis = clock.millis();
    }

    /** Notes that a check begun at {@code startedMillis} showed nothing newer than is applied. */
    public synchronized void checked(long startedMillis) {
        mCheckedMillis = Math.max(mCheckedMillis, startedMillis);
    }

    /** Returns the age of the last check in milliseconds. */
    public synchronized long ageMillis() {
        return mClock.millis() - mCheckedMillis;
    }

    @Override
    public Option<EffectiveConfig> current() {
        return ageMillis() > mMaxAgeMillis ? Option.none() : mHolder.current();
    }
}
