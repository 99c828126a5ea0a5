/**
 * Request handling: admission, rate limits, queues, executor slots, idempotency keys and retries.
 */
@NullMarked
package org.hyssoprouter.internal.request;

import org.jspecify.annotations.NullMarked;
