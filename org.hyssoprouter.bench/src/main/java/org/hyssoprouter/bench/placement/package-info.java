/** Measurements of the placement decisions in memory, against first fit. */
@NullMarked
package org.hyssoprouter.bench.placement;

import org.jspecify.annotations.NullMarked;
