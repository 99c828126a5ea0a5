package org.hyssoprouter.daemon.http;

import java.util.List;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Is told of each answer to a caller, and shows what it has counted.
 *
 * @since 0.1
 */
public interface RequestObserver {
    /**
     * Counts an answer.
     *
     * @param order request
     * @param reply its final reply
     * @param nanos time from the whole request to the reply, in nanoseconds
     */
    void recordReply(RequestOrder order, RequestReply reply, long nanos);

    /** Returns all meters in the text form of Prometheus. */
    String scrape();

    /** Returns the busiest customers and classes, the busiest first. */
    List<TopEntry> top();

    /**
     * Load of one customer and class at this entry since it started.
     *
     * @param customer customer
     * @param trafficClass class
     * @param requests requests answered
     * @param refused of these, refused
     * @param meanMillis mean time to the answer in milliseconds
     * @param maxMillis longest time of the last minutes in milliseconds
     */
    record TopEntry(
            String customer,
            String trafficClass,
            long requests,
            long refused,
            double meanMillis,
            double maxMillis) {}
}
