package org.hyssoprouter.daemon.request;

import org.hyssoprouter.transport.RequestOrder;

/** Replaces the timeout of requests before they are forwarded. */
final class OrderTimeouts {
    private OrderTimeouts() {}

    /** Returns a copy of the order with a different timeout. */
    static RequestOrder withTimeout(RequestOrder order, long timeoutMillis) {
        return new RequestOrder(
                order.requestId(),
                order.customer(),
                order.service(),
                order.trafficClass(),
                timeoutMillis,
                order.idempotent(),
                order.key(),
                order.body());
    }
}
