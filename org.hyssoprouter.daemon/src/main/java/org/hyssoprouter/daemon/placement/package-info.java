/** Drives the placement decisions of an owned shard: leases, starts, stops and the journal. */
@NullMarked
package org.hyssoprouter.daemon.placement;

import org.jspecify.annotations.NullMarked;
