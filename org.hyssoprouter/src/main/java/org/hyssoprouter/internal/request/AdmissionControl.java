package org.hyssoprouter.internal.request;

import io.vavr.control.Option;
import java.util.EnumMap;
import java.util.Map;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Decides at once whether a request can meet its deadline, from the requests that wait before it
 * and the service times seen so far. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class AdmissionControl {
    private static final double SMOOTHING = 0.1;

    private final Map<TrafficClass, Double> mMeanMillis = new EnumMap<>(TrafficClass.class);

    /** Learns from a request that an executor answered. */
    public void recordServiceTime(TrafficClass trafficClass, long serviceMillis) {
        mMeanMillis.merge(
                trafficClass,
                (double) serviceMillis,
                (mean, sample) -> mean + SMOOTHING * (sample - mean));
    }

    /** Returns the expected time in a slot, in milliseconds; 0 before any was seen. */
    public long meanServiceMillis(TrafficClass trafficClass) {
        return Math.round(mMeanMillis.getOrDefault(trafficClass, 0.0));
    }

    /**
     * Returns the expected time until a new request starts.
     *
     * @param queue requests that wait for the same executors
     * @param trafficClass class of the new request
     * @param customer its customer
     * @param slots slots that its class may use
     * @param free slots among them that are free now
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
                aheadMillis += count * mMeanMillis.getOrDefault(other, 0.0);
            }
        }
        if (ahead < free) {
            return 0;
        }
        // On average a slot that is in use becomes free after its share of one service time.
        double inUseMillis = mMeanMillis.getOrDefault(trafficClass, 0.0);
        return Math.round((aheadMillis + inUseMillis) / Math.max(1, slots));
    }

    /**
     * Refuses a request that cannot meet its deadline.
     *
     * @param waitMillis expected time until it starts
     * @param timeoutMillis time left for it
     * @return the refusal, or none when the request may wait
     */
    public Option<Refusal> checkDeadline(
            TrafficClass trafficClass, long waitMillis, long timeoutMillis) {
        long expectedMillis = waitMillis + meanServiceMillis(trafficClass);
        if (waitMillis == 0 || expectedMillis <= timeoutMillis) {
            return Option.none();
        }
        long excessMillis = expectedMillis - timeoutMillis;
        return Option.some(
                Refusal.later(
                        RefusalCode.OVERLOADED,
                        "expected wait of " + waitMillis + " ms is beyond the deadline",
                        Math.max(excessMillis, meanServiceMillis(trafficClass))));
    }
}
