/**
 * Workflows on one daemon: entry for callers' calls, election of the owner of all pools, and the
 * owner's work with table store, workers and approval service.
 */
@NullMarked
package org.hyssoprouter.daemon.workflow;

import org.jspecify.annotations.NullMarked;
