package org.hyssoprouter.daemon.peer;

import io.vavr.control.Option;
import org.hyssoprouter.util.MonotonicClock;

/** Holds the clock, counters and cross-region settings shared by all connections of a link. */
final class LinkContext {
    private final MonotonicClock mClock;
    private final LinkCounters mCounters;
    private volatile Option<RegionSettings> mRegionSettings = Option.none();
    private volatile Option<CrossRegionRateLimiter> mRateLimiter = Option.none();

    LinkContext(MonotonicClock clock, LinkCounters counters) {
        mClock = clock;
        mCounters = counters;
    }

    MonotonicClock clock() {
        return mClock;
    }

    LinkCounters counters() {
        return mCounters;
    }

    void setRegionSettings(RegionSettings settings) {
        mRateLimiter = Option.some(new CrossRegionRateLimiter(settings.limit(), mClock));
        mRegionSettings = Option.some(settings);
    }

    Option<RegionSettings> regionSettings() {
        return mRegionSettings;
    }

    Option<CrossRegionRateLimiter> rateLimiter() {
        return mRateLimiter;
    }
}
