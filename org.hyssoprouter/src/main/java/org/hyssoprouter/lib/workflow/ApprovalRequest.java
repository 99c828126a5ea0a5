package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * Question which workers may run a step.
 *
 * @param step step
 * @param priority urgency of its queue; 0 comes first
 * @param workers identifiers of the workers in question
 * @param expectedMillis time that the answer will take, in milliseconds
 * @since 0.2
 */
public record ApprovalRequest(
        StepKey step, int priority, List<String> workers, double expectedMillis) {}
