/** Callers' requests: the router of an entry and the desk of an owned shard. */
@NullMarked
package org.hyssoprouter.daemon.request;

import org.jspecify.annotations.NullMarked;
