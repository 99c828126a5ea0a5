package org.hyssoprouter.lib.workflow;

import java.util.Map;

/**
 * Tickets that the approval service issued for a step; a worker without a ticket may not run it.
 *
 * @param tickets tickets by the identifier of the approved worker
 * @param validMillis validity of the tickets from their issue, in milliseconds
 * @since 0.2
 */
public record ApprovalTickets(Map<String, String> tickets, long validMillis) {}
