package org.hyssoprouter.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.junit.jupiter.api.Test;

class RequestMetersTest {
    private static final long MILLI = 1_000_000;

    private final RequestMeters mMeters = new RequestMeters();

    @Test
    void countsByCustomerAndClass() {
        mMeters.recordReply(order("guild"), RequestReply.ran(200, new byte[3]), 4 * MILLI);
        Refusal refusal = Refusal.retryLater(RefusalCode.OVERLOADED, "full", 10);
        mMeters.recordReply(order("guild"), RequestReply.refused(refusal), MILLI);
        assertEquals(2, mMeters.top().get(0).requests());
        assertEquals(1, mMeters.top().get(0).refused());
        assertEquals(4.0, mMeters.top().get(0).meanMillis());
        String text = mMeters.scrape();
        assertTrue(
                text.contains(
                        "hyssop_requests_seconds_bucket{class=\"urgent\",customer=\"guild\","
                                + "outcome=\"answered\",le=\"0.005\"} 1"),
                text);
        assertTrue(text.contains("code=\"OVERLOADED\""), text);
    }

    @Test
    void customersBeyondTheLimitShareALabel() {
        for (int i = 0; i < RequestMeters.MAX_CUSTOMERS + 5; i++) {
            mMeters.recordReply(order("c" + i), RequestReply.ran(200, new byte[0]), MILLI);
        }
        assertEquals(LabelLimiter.OTHER, mMeters.top().get(0).customer());
        assertEquals(5, mMeters.top().get(0).requests());
    }

    private static RequestOrder order(String customer) {
        return new RequestOrder(
                "r", customer, "s", TrafficClass.URGENT, 1, false, null, new byte[0]);
    }
}
