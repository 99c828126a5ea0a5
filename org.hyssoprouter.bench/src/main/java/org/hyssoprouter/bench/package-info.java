/** Starts a whole cell of processes on one machine, drives it and measures it. */
@NullMarked
package org.hyssoprouter.bench;

import org.jspecify.annotations.NullMarked;
