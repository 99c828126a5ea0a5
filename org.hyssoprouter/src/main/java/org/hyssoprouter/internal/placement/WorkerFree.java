package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;

/**
 * Free room of a worker that may receive work.
 *
 * @param worker name
 * @param rack rack
 * @param capacity room of the whole worker
 * @param free room that no attempt holds
 * @since 0.1
 */
public record WorkerFree(String worker, String rack, Room capacity, Room free) {}
