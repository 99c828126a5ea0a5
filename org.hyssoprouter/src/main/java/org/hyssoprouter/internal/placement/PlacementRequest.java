package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Tasks of one job that need a worker each.
 *
 * @param attempts attempts to place
 * @param room room that each of them needs
 * @param spread where other tasks of the job are
 * @param avoidedWorker worker to use only if no other fits, or empty
 * @since 0.1
 */
public record PlacementRequest(
        List<AttemptId> attempts, Room room, TaskSpread spread, String avoidedWorker) {}
