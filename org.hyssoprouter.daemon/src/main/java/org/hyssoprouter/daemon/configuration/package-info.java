/** Keeps the configuration in force at this daemon and accepts changes of it. */
@NullMarked
package org.hyssoprouter.daemon.configuration;

import org.jspecify.annotations.NullMarked;
