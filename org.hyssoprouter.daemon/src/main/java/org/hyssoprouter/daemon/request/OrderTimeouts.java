package org.hyssoprouter.daemon.request;

import org.hyssoprouter.transport.RequestOrder;

/** Changes of orders on their way. */
final class OrderTimeouts {
    private OrderTimeouts() {}

    /** Returns the order with another time left for it. */
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
