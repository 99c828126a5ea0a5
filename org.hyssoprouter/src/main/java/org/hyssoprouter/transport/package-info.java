/** Ports: what the decision code needs of the platform, workers, executors and peers. */
@NullMarked
package org.hyssoprouter.transport;

import org.jspecify.annotations.NullMarked;
