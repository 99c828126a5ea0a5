package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.Map;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Decides on arrival whether a request can meet its deadline, based on the requests queued ahead of
 * it and on the measured service times. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class AdmissionControl {
    private static final double SMOOTHING_FACTOR = 0.1;

    private final Map<TrafficClass, Double> mMeanServiceMillis = new EnumMap<>(TrafficClass.class);

    /**
     * Updates the moving average of the service time of a class from a request that an executor has
     * answered.
     */
    public void recordServiceTime(TrafficClass trafficClass, long serviceMillis) {
        mMeanServiceMillis.merge(
                trafficClass,
                (double) serviceMillis,
                (mean, sample) -> mean + SMOOTHING_FACTOR * (sample - mean));
    }

    /**
     * Returns the expected time for which a request occupies a slot, in milliseconds; 0 if none was
     * measured yet.
     */
    public long meanServiceMillis(TrafficClass trafficClass) {
        return Math.round(mMeanServiceMillis.getOrDefault(trafficClass, 0.0));
    }

    /**
     * Returns the expected time until a new request starts, in milliseconds.
     *
     * @param queue requests queued for the same executors
     * @param trafficClass class of the new request
     * @param customer customer of the new request
     * @param slots number of slots that its class may use
     * @param free number of these slots that are free now
     */
    public long expectedWaitMillis(
            FairQueue<?> queue, TrafficClass trafficClass, String customer, int slots, int free) {
        double aheadMillis = 0;
        int ahead = 0;
        for (TrafficClass other : TrafficClass.values()) {
            int count =
                    other == trafficClass
                            ? queue.expectedAhead(other, customer)
                            : queue.size(other);
            if (other.compareTo(trafficClass) <= 0) {
                ahead += count;
                aheadMillis += count * mMeanServiceMillis.getOrDefault(other, 0.0);
            }
        }
        if (ahead < free) {
            return 0;
        }
        // On average the next slot becomes free after one service time divided by the number of
        // slots.
        double inUseMillis = mMeanServiceMillis.getOrDefault(trafficClass, 0.0);
        return Math.round((aheadMillis + inUseMillis) / Math.max(1, slots));
    }

    /**
     * Refuses a request that is not expected to meet its deadline.
     *
     * @param waitMillis expected time until it starts
     * @param timeoutMillis time left until its deadline
     * @return the refusal, or none if the request may be queued
     */
    public Option<Refusal> checkDeadline(
            TrafficClass trafficClass, long waitMillis, long timeoutMillis) {
        long expectedMillis = waitMillis + meanServiceMillis(trafficClass);
        if (waitMillis == 0 || expectedMillis <= timeoutMillis) {
            return Option.none();
        }
        long excessMillis = expectedMillis - timeoutMillis;
        return Option.some(
                Refusal.retryLater(
                        RefusalCode.OVERLOADED,
                        "expected wait of "
                                + waitMillis
                                + " ms leaves too little time to meet the deadline",
                        Math.max(excessMillis, meanServiceMillis(trafficClass))));
    }
}
