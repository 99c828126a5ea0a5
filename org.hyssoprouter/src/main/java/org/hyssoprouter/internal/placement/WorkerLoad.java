package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;

/**
 * Load of a worker as shown to operators.
 *
 * @param worker name of the worker
 * @param drained whether an operator has drained the worker
 * @param usable whether it may receive new work now
 * @param used room held by attempts
 * @param tasks number of attempts that hold room on the worker
 * @since 0.1
 */
public record WorkerLoad(String worker, boolean drained, boolean usable, Room used, int tasks) {}
