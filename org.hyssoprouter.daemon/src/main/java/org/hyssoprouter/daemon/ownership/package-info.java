/** Services that own shards: polling, takeover, recovery, snapshots and planned handover. */
@NullMarked
package org.hyssoprouter.daemon.ownership;

import org.jspecify.annotations.NullMarked;
