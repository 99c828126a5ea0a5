package org.hyssoprouter.lib.workflow;

import java.util.Map;

/**
 * Answer of the approval service for a step.
 *
 * @param tickets ticket of each approved worker, by worker
 * @param validMillis time for which the tickets are accepted, in milliseconds
 * @since 0.2
 */
public record ApprovalTickets(Map<String, String> tickets, long validMillis) {}
