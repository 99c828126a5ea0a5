package org.hyssoprouter.standin.worker;

/**
 * Faults of a worker.
 *
 * @param failStarts whether starts are answered with 500 and nothing is run
 * @param silent whether calls are accepted and neither acted on nor answered
 * @param delayMillis time by which calls are acted on late
 * @param answerDelayMillis time by which answers are late after the effect
 * @param failTasks whether every started task fails at once
 * @param silenceOpen order to make the connections that are open now silent for good
 * @since 0.1
 */
public record WorkerFaults(
        boolean failStarts,
        boolean silent,
        long delayMillis,
        long answerDelayMillis,
        boolean failTasks,
        boolean silenceOpen) {
    static final WorkerFaults NONE = new WorkerFaults(false, false, 0, 0, false, false);

    WorkerFaults withoutSilenceOpen() {
        return new WorkerFaults(
                failStarts, silent, delayMillis, answerDelayMillis, failTasks, false);
    }
}
