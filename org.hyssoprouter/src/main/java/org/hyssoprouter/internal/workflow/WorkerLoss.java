package org.hyssoprouter.internal.workflow;

/**
 * Loss of a worker and its runs.
 *
 * @param reason reason of the loss, for the log
 * @param certain whether the worker has ended; otherwise it may only be unreachable
 */
record WorkerLoss(String reason, boolean certain) {
    static WorkerLoss ended(String reason) {
        return new WorkerLoss(reason, true);
    }

    static WorkerLoss presumed(String reason) {
        return new WorkerLoss(reason, false);
    }
}
