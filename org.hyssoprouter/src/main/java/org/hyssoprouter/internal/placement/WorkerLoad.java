package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;

/**
 * What a worker holds, for operators.
 *
 * @param worker name of the worker
 * @param drained whether an operator took it out of use
 * @param usable whether it may receive new work now
 * @param used room held by tasks
 * @param tasks tasks on it
 * @since 0.1
 */
public record WorkerLoad(String worker, boolean drained, boolean usable, Room used, int tasks) {}
