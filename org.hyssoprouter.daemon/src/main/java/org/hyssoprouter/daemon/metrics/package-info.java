/** Meters of the daemon and their export to Prometheus. */
@NullMarked
package org.hyssoprouter.daemon.metrics;

import org.jspecify.annotations.NullMarked;
