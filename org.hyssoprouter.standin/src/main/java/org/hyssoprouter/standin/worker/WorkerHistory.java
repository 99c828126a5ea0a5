package org.hyssoprouter.standin.worker;

import java.util.List;

/**
 * Events and capacity violations that a worker recorded since its start.
 *
 * @param worker name of the worker
 * @param overfills number of starts after which the granted room exceeded the capacity
 * @param usageOverfills number of starts after which the actual usage exceeded the capacity
 * @param events events in chronological order
 * @since 0.1
 */
public record WorkerHistory(
        String worker, long overfills, long usageOverfills, List<TaskEvent> events) {}
