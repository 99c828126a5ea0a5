package org.hyssoprouter.daemon.peer;

import io.vavr.control.Option;
import org.hyssoprouter.util.MonotonicClock;

/** What all connections of a link share. */
final class LinkParts {
    private final MonotonicClock mClock;
    private final LinkCounters mCounters;
    private volatile Option<LinkRegions> mRegions = Option.none();
    private volatile Option<RegionBudget> mBudget = Option.none();

    LinkParts(MonotonicClock clock, LinkCounters counters) {
        mClock = clock;
        mCounters = counters;
    }

    MonotonicClock clock() {
        return mClock;
    }

    LinkCounters counters() {
        return mCounters;
    }

    void setRegions(LinkRegions regions) {
        mBudget = Option.some(new RegionBudget(regions.budget(), mClock));
        mRegions = Option.some(regions);
    }

    Option<LinkRegions> regions() {
        return mRegions;
    }

    Option<RegionBudget> budget() {
        return mBudget;
    }
}
