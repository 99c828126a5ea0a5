package org.hyssoprouter.daemon.request;

import org.hyssoprouter.transport.RequestOrder;

/**
 * A request on its way to the owner of a shard.
 *
 * @param shard shard whose owner shall answer
 * @param order request
 * @since 0.1
 */
public record ForwardedOrder(String shard, RequestOrder order) {}
