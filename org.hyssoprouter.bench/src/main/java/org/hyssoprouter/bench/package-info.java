/** Measurements, demo and system tests on a cell of processes that run on one machine. */
@NullMarked
package org.hyssoprouter.bench;

import org.jspecify.annotations.NullMarked;
