package org.hyssoprouter.daemon.workflow;

import java.util.Map;

/**
 * Load that the owner publishes for all daemons.
 *
 * @param pending number of workflows of each queue that wait for their first start
 */
record LoadRow(Map<String, Integer> pending) {}
