package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;

/**
 * Chooses where a host gets the configuration from.
 *
 * <p>Load: a configuration of several hundred kilobytes changes, and all hosts of a region read it
 * over one narrow link that also carries starts and approvals. With this order only one host of a
 * region reads the table store, and the others ask that one. Each host ranks the members of its
 * region by itself, strongest first, so that no election is needed; hosts that rank differently,
 * because one of them cannot reach a reader, still get the configuration, from whichever host they
 * ask. A source that fails is tried again after a time that doubles, beside the calls to the
 * others, so that silent sources delay none of them. The table store is the last way for all but
 * the first two of a region, and their turns there are spread over time.
 *
 * <p>Used on one thread only.
 */
final class SourceSelector {
    /** Number of failures in a row after which a host no longer counts in the ranking. */
    private static final int MAX_FAILURES = 3;

    /** Number of excluded hosts that are tried again, so that the calls do not grow with a cell. */
    private static final int MAX_RETRIED_HOSTS = 8;

    /** Number of hosts in the ranking that the others ask. */
    private static final int READERS = 2;

    /** Time without a confirmed version after which a host that is no reader reads the store. */
    static final long STORE_AGE_MILLIS = 1_700;

    /**
     * Time over which those reads of a region are spread. With the age it is less than the 2.5 s
     * after which all hosts must go by a version.
     */
    private static final long STORE_SPREAD_MILLIS = 600;

    /** Pause after a failed read of the store, also where every host reads it. */
    private static final long STORE_RETRY_MILLIS = 150;

    private static final long MAX_READER_STORE_RETRY_MILLIS = 600;

    /** Like the next, below the time within which a host that is back must be up to date (4 s). */
    private static final long MAX_STORE_RETRY_MILLIS = 2_500;

    private static final long PEER_RETRY_MILLIS = 400;
    private static final long MAX_PEER_RETRY_MILLIS = 3_000;

    /** Time without any answer after which the fault was this host's, so that all are retried. */
    private static final long OWN_FAULT_MILLIS = 2_000;

    private static final double MIN_SPREAD = 0.75;
    private static final double SPREAD_RANGE = 0.5;

    /** Longest time between two choices, after which the list of hosts may be another one. */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final String mSelf;
    private final int mMinHosts;
    private final DoubleSupplier mRandom;
    private final Map<ConfigSource, Failures> mFailures = new HashMap<>();
    private final Set<ConfigSource> mCalled = new HashSet<>();
    private long mSuccessMillis;
    private int mRank;
    private int mLiveCount = 1;
    private boolean mSharing;

    /** Failures of a source since its last answer. */
    private record Failures(int count, long retryMillis) {}

    /**
     * Sources to ask.
     *
     * @param main source whose answer this host waits for; none while no source is sound
     * @param beside sources to ask beside it, whatever becomes of its answer: those that have
     *     failed, once their pause is over, and the store once the version is too old
     * @param pauseMillis time after which to choose again, in milliseconds
     */
    record Choice(Option<ConfigSource> main, List<ConfigSource> beside, long pauseMillis) {}

    /**
     * Creates a selector.
     *
     * @param self name of this host
     * @param minHosts number of hosts in the region from which on they share a reader; 0 if each
     *     host always reads the store
     * @param random returns numbers from 0 to 1, which spread retries
     */
    SourceSelector(String self, int minHosts, DoubleSupplier random, long nowMillis) {
        mSelf = self;
        mMinHosts = minHosts;
        mRandom = random;
        mSuccessMillis = nowMillis;
    }

    /**
     * Chooses the sources to ask now. None of them has an open call.
     *
     * @param hosts known hosts of the cell, including this one
     * @param ageMillis time since this host's version was known to be the newest, in milliseconds
     */
    Choice choose(List<ConfigHost> hosts, long ageMillis, long nowMillis) {
        forgetUnlisted(hosts);
        Option<ConfigSource> main = Option.none();
        List<ConfigSource> beside = new ArrayList<>();
        long wakeMillis = nowMillis + MAX_PAUSE_MILLIS;
        for (ConfigSource source : order(hosts)) {
            Failures failures = mFailures.get(source);
            if (failures == null) {
                main = main.orElse(Option.some(source));
            } else if (failures.retryMillis() > nowMillis) {
                wakeMillis = Math.min(wakeMillis, failures.retryMillis());
            } else if (!mCalled.contains(source)) {
                beside.add(source);
            }
        }
        if (mSharing && mRank > 0 && !mCalled.contains(ConfigSource.STORE)) {
            long storeMillis = storeReadMillis(nowMillis - ageMillis);
            if (storeMillis > nowMillis) {
                wakeMillis = Math.min(wakeMillis, storeMillis);
            } else if (!beside.contains(ConfigSource.STORE)) {
                beside.add(ConfigSource.STORE);
            }
        }
        return new Choice(
                main.filter(it -> !mCalled.contains(it) && !beside.contains(it)),
                beside,
                wakeMillis - nowMillis);
    }

    /** Returns the time at which a host that is no reader reads the store. */
    private long storeReadMillis(long confirmedMillis) {
        long tooOldMillis =
                confirmedMillis + STORE_AGE_MILLIS + mRank * STORE_SPREAD_MILLIS / mLiveCount;
        Failures failures = mFailures.get(ConfigSource.STORE);
        return failures == null ? tooOldMillis : Math.max(tooOldMillis, failures.retryMillis());
    }

    /** Forgets the failures of hosts that are no longer members. */
    private void forgetUnlisted(List<ConfigHost> hosts) {
        if (!mFailures.isEmpty() && !hosts.isEmpty()) {
            Set<ConfigSource> sources =
                    hosts.stream().map(ConfigSource::of).collect(Collectors.toSet());
            mFailures.keySet().removeIf(it -> !it.isStore() && !sources.contains(it));
        }
    }

    /** Returns the position of this host among the live ones of its region; 0 is the reader. */
    int rank() {
        return mRank;
    }

    /** Returns whether the hosts of this host's region share a reader. */
    boolean isSharing() {
        return mSharing;
    }

    private List<ConfigSource> order(List<ConfigHost> hosts) {
        ConfigHost self =
                hosts.stream().filter(it -> it.name().equals(mSelf)).findFirst().orElse(null);
        mRank = 0;
        mSharing = false;
        if (self == null || mMinHosts == 0) {
            return List.of(ConfigSource.STORE);
        }
        List<ConfigHost> region = strongestFirst(hosts, self.region());
        if (region.size() < mMinHosts) {
            return List.of(ConfigSource.STORE);
        }
        mSharing = true;
        List<ConfigHost> live =
                region.stream().filter(it -> it.equals(self) || isLive(it)).toList();
        mRank = live.indexOf(self);
        mLiveCount = live.size();
        List<ConfigSource> order = new ArrayList<>();
        // An excluded host that ranks above the present reader is tried again from time to time.
        region.stream()
                .limit(Math.min(MAX_RETRIED_HOSTS, region.indexOf(live.get(0))))
                .map(ConfigSource::of)
                .forEach(order::add);
        List<ConfigSource> peers =
                live.stream()
                        .filter(it -> !it.equals(self))
                        .limit(mRank == 1 ? 1 : READERS)
                        .map(ConfigSource::of)
                        .toList();
        if (mRank == 0) {
            // The others of the region have their version from this host.
            order.add(ConfigSource.STORE);
            addReaderOfOtherRegion(order, hosts, self);
            order.addAll(peers);
            return order;
        }
        order.addAll(peers);
        if (mRank == 1) {
            order.add(ConfigSource.STORE);
        }
        addReaderOfOtherRegion(order, hosts, self);
        return order;
    }

    private void addReaderOfOtherRegion(
            List<ConfigSource> order, List<ConfigHost> hosts, ConfigHost self) {
        hosts.stream()
                .map(ConfigHost::region)
                .filter(region -> !region.equals(self.region()))
                .min(Comparator.naturalOrder())
                .flatMap(
                        region ->
                                strongestFirst(hosts, region).stream()
                                        .filter(this::isLive)
                                        .findFirst())
                .map(ConfigSource::of)
                .ifPresent(order::add);
    }

    private static List<ConfigHost> strongestFirst(List<ConfigHost> hosts, String region) {
        return hosts.stream()
                .filter(it -> it.region().equals(region))
                .sorted(
                        Comparator.comparingDouble(ConfigHost::cores)
                                .reversed()
                                .thenComparing(ConfigHost::name))
                .toList();
    }

    private boolean isLive(ConfigHost host) {
        Failures failures = mFailures.get(ConfigSource.of(host));
        return failures == null || failures.count() < MAX_FAILURES;
    }

    /** Records a call to a source. */
    void onCall(ConfigSource source) {
        mCalled.add(source);
    }

    /** Returns the number of failures of a source since its last answer. */
    int failureCount(ConfigSource source) {
        Failures failures = mFailures.get(source);
        return failures == null ? 0 : failures.count();
    }

    /** Records an answer that confirms a version, or brings a part of one. */
    void onSuccess(ConfigSource source, long nowMillis) {
        mCalled.remove(source);
        mFailures.remove(source);
        if (nowMillis - mSuccessMillis > OWN_FAULT_MILLIS) {
            // Not forgotten: sources that are silent all the same must not be waited for again.
            mFailures.replaceAll((key, it) -> new Failures(it.count(), nowMillis));
        }
        mSuccessMillis = nowMillis;
    }

    /**
     * Records that a source has not answered, or cannot confirm a version.
     *
     * @return number of its failures in a row
     */
    int onFailure(ConfigSource source, long nowMillis) {
        mCalled.remove(source);
        Failures former = mFailures.get(source);
        int count = former == null ? 1 : former.count() + 1;
        long firstMillis = source.isStore() ? STORE_RETRY_MILLIS : PEER_RETRY_MILLIS;
        long doubledMillis = firstMillis << Math.min(count - 1, Integer.SIZE - 2);
        double spread = MIN_SPREAD + SPREAD_RANGE * mRandom.getAsDouble();
        long pauseMillis = (long) (spread * Math.min(doubledMillis, maxRetryMillis(source)));
        mFailures.put(source, new Failures(count, nowMillis + pauseMillis));
        return count;
    }

    private long maxRetryMillis(ConfigSource source) {
        if (!source.isStore()) {
            return MAX_PEER_RETRY_MILLIS;
        }
        if (!mSharing) {
            return STORE_RETRY_MILLIS;
        }
        return mRank == 0 ? MAX_READER_STORE_RETRY_MILLIS : MAX_STORE_RETRY_MILLIS;
    }
}
