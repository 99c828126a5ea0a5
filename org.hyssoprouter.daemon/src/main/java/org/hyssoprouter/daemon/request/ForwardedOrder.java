package org.hyssoprouter.daemon.request;

import org.hyssoprouter.transport.RequestOrder;

/**
 * Request that one daemon forwards to the owner of a shard.
 *
 * @param shard shard whose owner handles the request
 * @param order request
 * @since 0.1
 */
public record ForwardedOrder(String shard, RequestOrder order) {}
