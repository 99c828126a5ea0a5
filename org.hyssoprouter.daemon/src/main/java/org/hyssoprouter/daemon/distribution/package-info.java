/** Distribution of the configuration to the hosts of a cell. */
@NullMarked
package org.hyssoprouter.daemon.distribution;

import org.jspecify.annotations.NullMarked;
