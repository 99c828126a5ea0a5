/** Decisions on which worker of a shard runs which task; pure, the time is passed in. */
@NullMarked
package org.hyssoprouter.internal.placement;

import org.jspecify.annotations.NullMarked;
