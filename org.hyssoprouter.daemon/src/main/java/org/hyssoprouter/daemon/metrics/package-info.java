/** Meters of the daemon and their form for Prometheus. */
@NullMarked
package org.hyssoprouter.daemon.metrics;

import org.jspecify.annotations.NullMarked;
