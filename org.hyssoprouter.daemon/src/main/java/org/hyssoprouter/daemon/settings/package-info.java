/** The settings file of a daemon: keys, ranges, faults. */
@NullMarked
package org.hyssoprouter.daemon.settings;

import org.jspecify.annotations.NullMarked;
