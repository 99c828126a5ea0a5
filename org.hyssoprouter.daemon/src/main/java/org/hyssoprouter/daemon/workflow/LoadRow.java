package org.hyssoprouter.daemon.workflow;

import java.util.Map;

/**
 * Load that the owner publishes for the entries.
 *
 * @param pending workflows of each queue that wait for their first start
 */
record LoadRow(Map<String, Integer> pending) {}
