package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;

/**
 * Worker that may receive work, with its free room.
 *
 * @param name name of the worker
 * @param rack rack of the worker
 * @param capacity total room of the worker
 * @param free room that no attempt holds
 * @since 0.1
 */
public record AvailableWorker(String name, String rack, Room capacity, Room free) {}
