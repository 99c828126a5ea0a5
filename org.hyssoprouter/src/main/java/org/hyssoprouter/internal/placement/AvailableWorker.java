package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;

/**
 * Free room of a worker that may receive work.
 *
 * @param name name
 * @param rack rack
 * @param capacity room of the whole worker
 * @param free room that no attempt holds
 * @since 0.1
 */
public record AvailableWorker(String name, String rack, Room capacity, Room free) {}
