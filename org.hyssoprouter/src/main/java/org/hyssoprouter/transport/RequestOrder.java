package org.hyssoprouter.transport;

import org.hyssoprouter.lib.TrafficClass;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request on its way to an owner.
 *
 * @param requestId id given by the entry, never used again
 * @param customer customer that pays for it
 * @param service service whose executors can answer
 * @param trafficClass class
 * @param timeoutMillis time left, counted from when the message was sent
 * @param idempotent whether it may run more than once
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
