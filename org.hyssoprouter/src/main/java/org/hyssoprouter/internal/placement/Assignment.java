package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Worker chosen for an attempt, whose room is held there.
 *
 * @param attempt attempt
 * @param worker worker
 * @param room room held
 * @since 0.1
 */
public record Assignment(AttemptId attempt, String worker, Room room) {}
