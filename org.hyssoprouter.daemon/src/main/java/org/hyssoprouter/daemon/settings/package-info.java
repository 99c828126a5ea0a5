/** The settings file of a daemon: keys, allowed ranges and validation. */
@NullMarked
package org.hyssoprouter.daemon.settings;

import org.jspecify.annotations.NullMarked;
