/** The cell as one daemon sees it: its own shards, and calls to the owners of the others. */
@NullMarked
package org.hyssoprouter.daemon.cell;

import org.jspecify.annotations.NullMarked;
