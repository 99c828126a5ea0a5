/** The daemon: wiring of decisions, ports and adapters, and its life from start to stop. */
@NullMarked
package org.hyssoprouter.daemon;

import org.jspecify.annotations.NullMarked;
