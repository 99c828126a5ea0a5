package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Placement of an attempt on a worker, on which room is held for it.
 *
 * @param attempt placed attempt
 * @param worker name of the worker
 * @param room room held for the attempt
 * @since 0.1
 */
public record Assignment(AttemptId attempt, String worker, Room room) {}
