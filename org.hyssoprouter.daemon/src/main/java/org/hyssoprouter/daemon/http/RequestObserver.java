package org.hyssoprouter.daemon.http;

import java.util.List;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/**
 * Records the reply to each request and reports the metrics of the requests.
 *
 * @since 0.1
 */
public interface RequestObserver {
    /**
     * Records the reply to a request.
     *
     * @param order request
     * @param reply final reply to the request
     * @param nanos time from the complete receipt of the request to its reply, in nanoseconds
     */
    void recordReply(RequestOrder order, RequestReply reply, long nanos);

    /** Returns all meters in the Prometheus text format. */
    String scrape();

    /** Returns the customers and classes with the most load, in descending order. */
    List<TopEntry> top();

    /**
     * Load of one customer and class at this daemon since it started.
     *
     * @param customer name of the customer
     * @param trafficClass name of the traffic class
     * @param requests number of requests answered
     * @param refused number of these that were refused
     * @param meanMillis mean time to the reply, in milliseconds
     * @param maxMillis maximum time to the reply in the last minutes, in milliseconds
     */
    record TopEntry(
            String customer,
            String trafficClass,
            long requests,
            long refused,
            double meanMillis,
            double maxMillis) {}
}
