package org.hyssoprouter.lib.workflow;

/**
 * Identifies a step in one occurrence of a workflow.
 *
 * @param workflow identifier of the workflow
 * @param occurrence number of the occurrence, from 0
 * @param step number of the step, from 0
 * @since 0.2
 */
public record StepKey(String workflow, int occurrence, int step) {
    @Override
    public String toString() {
        return workflow + '.' + occurrence + '.' + step;
    }
}
