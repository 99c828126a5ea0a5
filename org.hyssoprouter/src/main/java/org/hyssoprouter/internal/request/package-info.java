/** Decisions on requests: slots, queues, admission, claims and retries. */
@NullMarked
package org.hyssoprouter.internal.request;

import org.jspecify.annotations.NullMarked;
