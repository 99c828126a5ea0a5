/** Shards owned by this daemon, and calls to the daemons that own the other shards of the cell. */
@NullMarked
package org.hyssoprouter.daemon.cell;

import org.jspecify.annotations.NullMarked;
