/** Implements the transport ports with the HTTP protocols of platform, workers and executors. */
@NullMarked
package org.hyssoprouter.daemon.adapter;

import org.jspecify.annotations.NullMarked;
