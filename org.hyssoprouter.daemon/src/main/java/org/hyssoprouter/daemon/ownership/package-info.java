/** Ownership of shards by a daemon: polling, takeover, recovery, snapshots and handover. */
@NullMarked
package org.hyssoprouter.daemon.ownership;

import org.jspecify.annotations.NullMarked;
