/** Distributes the configuration to all daemons and commits changes to it. */
@NullMarked
package org.hyssoprouter.daemon.configuration;

import org.jspecify.annotations.NullMarked;
