/** Calls between daemons, sent as frames over one TCP connection per called peer. */
@NullMarked
package org.hyssoprouter.daemon.peer;

import org.jspecify.annotations.NullMarked;
