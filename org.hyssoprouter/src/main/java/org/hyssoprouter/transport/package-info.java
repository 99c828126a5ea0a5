/** Ports of the scheduling code to the platform, workers, executors and peers. */
@NullMarked
package org.hyssoprouter.transport;

import org.jspecify.annotations.NullMarked;
