package org.hyssoprouter.daemon.http;

import java.util.List;

/**
 * Explains why tasks of a job do not run.
 *
 * @param job id of the job
 * @param summary one sentence for the operator
 * @param reasons reasons, each with the number of tasks that it blocks
 * @since 0.1
 */
public record JobExplanation(String job, String summary, List<Reason> reasons) {
    /**
     * Reason why tasks do not run.
     *
     * @param tasks number of tasks that it blocks
     * @param text description for the operator
     */
    public record Reason(int tasks, String text) {}
}
