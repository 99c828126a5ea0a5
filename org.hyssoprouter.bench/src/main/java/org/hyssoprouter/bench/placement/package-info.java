/** Measurements of in-memory placement decisions, compared with a first-fit baseline. */
@NullMarked
package org.hyssoprouter.bench.placement;

import org.jspecify.annotations.NullMarked;
