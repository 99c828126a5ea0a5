/** Checks of histories recorded by callers, workers and executors, independent of the daemons. */
@NullMarked
package org.hyssoprouter.bench.history;

import org.jspecify.annotations.NullMarked;
