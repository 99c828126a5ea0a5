/** Numbered log events in the form key=value, over System.Logger. */
@NullMarked
package org.hyssoprouter.daemon.log;

import org.jspecify.annotations.NullMarked;
