/** The link between daemons: framed calls over one TCP connection to each peer. */
@NullMarked
package org.hyssoprouter.daemon.peer;

import org.jspecify.annotations.NullMarked;
