package org.hyssoprouter.daemon.http;

import java.util.List;

/**
 * Why a job is where it is.
 *
 * @param job id of the job
 * @param summary one sentence for people
 * @param reasons reasons with the number of tasks that each holds back
 * @since 0.1
 */
public record JobExplanation(String job, String summary, List<Reason> reasons) {
    /**
     * A reason.
     *
     * @param tasks tasks that it holds back
     * @param text the reason, for people
     */
    public record Reason(int tasks, String text) {}
}
