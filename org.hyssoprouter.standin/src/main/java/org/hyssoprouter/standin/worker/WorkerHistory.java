package org.hyssoprouter.standin.worker;

import java.util.List;

/**
 * What a worker saw since its start.
 *
 * @param worker name of the worker
 * @param overfills starts after which the granted room was above the capacity
 * @param usageOverfills starts after which the true usage was above the capacity
 * @param events events in their order
 * @since 0.1
 */
public record WorkerHistory(
        String worker, long overfills, long usageOverfills, List<TaskEvent> events) {}
