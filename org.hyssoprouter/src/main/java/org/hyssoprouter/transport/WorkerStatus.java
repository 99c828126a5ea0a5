package org.hyssoprouter.transport;

import java.util.List;

/**
 * A worker's reply to a {@link LeaseRenewal}: its complete inventory of attempts.
 *
 * @param worker name of the worker
 * @param workerMillis time on the worker's own clock, on which not-after instants are based
 * @param tasks running attempts, and ended attempts not yet acknowledged
 * @since 0.1
 */
public record WorkerStatus(String worker, long workerMillis, List<TaskReport> tasks) {}
