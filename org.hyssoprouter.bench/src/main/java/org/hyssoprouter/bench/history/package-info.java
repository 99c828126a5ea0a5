/** Checks of what callers, workers and executors saw, apart from the product's own bookkeeping. */
@NullMarked
package org.hyssoprouter.bench.history;

import org.jspecify.annotations.NullMarked;
