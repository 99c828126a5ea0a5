package org.hyssoprouter.transport;

import java.util.List;

/**
 * A worker's answer to a {@link LeaseRenewal}: its whole inventory.
 *
 * @param worker name of the worker
 * @param workerMillis reading of the worker's own clock, the base of not-after instants
 * @param tasks running attempts, and ended ones not yet acknowledged
 * @since 0.1
 */
public record WorkerStatus(String worker, long workerMillis, List<TaskReport> tasks) {}
