/**
 * Scheduling of the tasks of a shard on its workers. The code does no I/O and reads no clock; the
 * current time is passed in.
 */
@NullMarked
package org.hyssoprouter.internal.placement;

import org.jspecify.annotations.NullMarked;
