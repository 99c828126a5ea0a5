package org.hyssoprouter.standin.worker;

/**
 * Fault settings of a simulated worker.
 *
 * @param failStarts whether starts are answered with 500 and not executed
 * @param silent whether calls are received but neither executed nor answered
 * @param delayMillis delay before a call is executed
 * @param answerDelayMillis delay of the response after a call is executed
 * @param failTasks whether every started task fails immediately
 * @param silenceOpen in an update, whether to silence all currently open connections permanently;
 *     false in stored settings
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
