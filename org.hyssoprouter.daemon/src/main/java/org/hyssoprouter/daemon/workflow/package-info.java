/**
 * Workflows on a daemon: the service for callers, the election of the owner of all pools, and the
 * owner's scheduling of runs with the table store, the workers and the approval service.
 */
@NullMarked
package org.hyssoprouter.daemon.workflow;

import org.jspecify.annotations.NullMarked;
