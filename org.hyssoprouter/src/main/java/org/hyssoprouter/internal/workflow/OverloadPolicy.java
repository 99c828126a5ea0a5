package org.hyssoprouter.internal.workflow;

/**
 * What the scheduler does when more work is accepted than the pool has room for. Off unless the
 * settings give the time that a preempted task takes to resume.
 *
 * @param forecastsRoom whether gangs claim only workers whose room they are expected to get in
 *     time, and shorter tasks may run there until then
 * @param weighsPreemption whether tasks are stopped only for steps that would else miss their
 *     objective and can still meet it
 * @param restoreMillis time that a preempted task takes to resume, in milliseconds
 * @since 0.3
 */
public record OverloadPolicy(boolean forecastsRoom, boolean weighsPreemption, long restoreMillis) {
    /** All parts off. */
    public static final OverloadPolicy NONE = new OverloadPolicy(false, false, 0);

    /** Returns the policy for a time to resume, in milliseconds; 0 turns all parts off. */
    public static OverloadPolicy of(long restoreMillis) {
        return restoreMillis <= 0 ? NONE : new OverloadPolicy(true, true, restoreMillis);
    }
}
