/** Routing of callers' requests to shard owners, and their scheduling on executors. */
@NullMarked
package org.hyssoprouter.daemon.request;

import org.jspecify.annotations.NullMarked;
