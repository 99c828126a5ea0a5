package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/**
 * Request to place tasks of one job.
 *
 * @param attempts attempts to place
 * @param room room to hold for each attempt
 * @param spread distribution of the live tasks of the job over workers and racks
 * @param avoidedWorker worker to use only if no other one fits, or empty
 * @since 0.1
 */
public record PlacementRequest(
        List<AttemptId> attempts, Room room, TaskSpread spread, String avoidedWorker) {}
