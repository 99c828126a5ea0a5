/** Decisions on who owns a shard and whether the owner may act now. */
@NullMarked
package org.hyssoprouter.internal.ownership;

import org.jspecify.annotations.NullMarked;
