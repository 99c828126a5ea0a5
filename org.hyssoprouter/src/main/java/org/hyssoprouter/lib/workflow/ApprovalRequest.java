package org.hyssoprouter.lib.workflow;

import java.util.List;

/**
 * Request to the approval service for tickets that let workers run a step.
 *
 * @param step step
 * @param urgency urgency of the step when it was requested; 0 is the most urgent
 * @param workers identifiers of the workers to approve
 * @param expectedMillis expected duration of the call, in milliseconds
 * @since 0.2
 */
public record ApprovalRequest(
        StepKey step, int urgency, List<String> workers, double expectedMillis) {
    /** Calls expected to take at least this long are long. */
    public static final double LONG_CALL_MILLIS = 250;

    /** Returns whether the call is long. */
    public boolean isLong() {
        return expectedMillis >= LONG_CALL_MILLIS;
    }
}
