package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.workflow.ApprovalRequest;

/**
 * Request to another daemon to call the approval service.
 *
 * @param request approval request
 * @param timeoutMillis time after which the answer is no longer awaited, in milliseconds
 */
record ApprovalCall(ApprovalRequest request, long timeoutMillis) {}
