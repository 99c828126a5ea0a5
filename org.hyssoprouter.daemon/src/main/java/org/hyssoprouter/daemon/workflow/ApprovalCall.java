package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.workflow.ApprovalRequest;

/**
 * Asks another daemon to call the approval service.
 *
 * @param request request
 * @param timeoutMillis time after which no answer is awaited
 */
record ApprovalCall(ApprovalRequest request, long timeoutMillis) {}
