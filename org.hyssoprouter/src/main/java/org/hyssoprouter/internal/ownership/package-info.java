/** Shard ownership: owner assignment, failure detection and confirmation of ownership. */
@NullMarked
package org.hyssoprouter.internal.ownership;

import org.jspecify.annotations.NullMarked;
