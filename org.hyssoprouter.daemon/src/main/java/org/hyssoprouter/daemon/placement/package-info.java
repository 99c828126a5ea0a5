/**
 * Runs the job scheduler of an owned shard: worker leases, starts and stops of tasks, and
 * journaling of the decisions.
 */
@NullMarked
package org.hyssoprouter.daemon.placement;

import org.jspecify.annotations.NullMarked;
