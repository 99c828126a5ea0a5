package org.hyssoprouter.internal.workflow;

/**
 * Loss of a worker and its runs.
 *
 * @param cause cause of the loss
 * @param certain whether the worker has ended; otherwise it may only be unreachable
 * @param restarted whether a new incarnation of the worker may carry out orders to the former one
 */
record WorkerLoss(RunLossCause cause, boolean certain, boolean restarted) {
    static final WorkerLoss RESTART = new WorkerLoss(RunLossCause.RESTARTED, true, true);

    static WorkerLoss ended(RunLossCause cause) {
        return new WorkerLoss(cause, true, false);
    }

    static WorkerLoss presumed(RunLossCause cause) {
        return new WorkerLoss(cause, false, false);
    }

    /** Returns whether the worker has left as planned. */
    boolean planned() {
        return cause == RunLossCause.LEFT;
    }

    /** Returns the reason of the loss, for the log. */
    String reason() {
        return cause.text();
    }
}
