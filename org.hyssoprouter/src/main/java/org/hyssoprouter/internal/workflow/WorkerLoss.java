package org.hyssoprouter.internal.workflow;

/**
 * Loss of a worker and its runs.
 *
 * @param reason reason of the loss, for the log
 * @param certain whether the worker has ended; otherwise it may only be unreachable
 * @param restarted whether a new incarnation of the worker may carry out orders to the former one
 */
record WorkerLoss(String reason, boolean certain, boolean restarted) {
    static final WorkerLoss RESTART = new WorkerLoss("worker restarted", true, true);

    static WorkerLoss ended(String reason) {
        return new WorkerLoss(reason, true, false);
    }

    static WorkerLoss presumed(String reason) {
        return new WorkerLoss(reason, false, false);
    }
}
