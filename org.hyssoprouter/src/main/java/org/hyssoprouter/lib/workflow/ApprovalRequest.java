package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * Request to the approval service for tickets that let workers run a step.
 *
 * @param step step
 * @param priority priority of the step's queue; 0 is the most urgent
 * @param workers identifiers of the workers to approve
 * @param expectedMillis expected duration of the call, in milliseconds
 * @since 0.2
 */
public record ApprovalRequest(
        StepKey step, int priority, List<String> workers, double expectedMillis) {}
