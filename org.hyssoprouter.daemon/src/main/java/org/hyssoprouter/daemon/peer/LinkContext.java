package org.hyssoprouter.daemon.peer;

import io.vavr.control.Option;
import org.hyssoprouter.util.MonotonicClock;

/** What all connections of a link share. */
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

    void setRegionSettings(RegionSettings regions) {
        mRateLimiter = Option.some(new CrossRegionRateLimiter(regions.limit(), mClock));
        mRegionSettings = Option.some(regions);
    }

    Option<RegionSettings> regionSettings() {
        return mRegionSettings;
    }

    Option<CrossRegionRateLimiter> rateLimiter() {
        return mRateLimiter;
    }
}
