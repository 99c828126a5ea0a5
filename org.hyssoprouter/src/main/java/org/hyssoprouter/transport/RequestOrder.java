package org.hyssoprouter.transport;

import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request, as forwarded to the owner of a shard.
 *
 * @param requestId id assigned by the daemon that received the request, never reused
 * @param customer customer whose limits the request counts against
 * @param service service whose executors can run the request
 * @param trafficClass traffic class
 * @param timeoutMillis remaining time, counted from the sending of this message
 * @param idempotent whether the request may run more than once
 * @param key idempotency key, or null
 * @param body content
 * @since 0.1
 */
public record RequestOrder(
        String requestId,
        String customer,
        String service,
        TrafficClass trafficClass,
        long timeoutMillis,
        boolean idempotent,
        @Nullable String key,
        byte[] body) {}
