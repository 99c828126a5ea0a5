package org.hyssoprouter.internal.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** Picks the policy for a job and asks it for workers. */
final class Placer {
    /** Jobs looked at in one pass; those behind them wait for the next pass. */
    static final int LOOK_AHEAD = 64;

    private final Map<WorkKind, PlacementPolicy> mPolicies = new EnumMap<>(WorkKind.class);
    private final Fleet mFleet;

    Placer(Fleet fleet) {
        mFleet = fleet;
        PackPolicy pack = new PackPolicy();
        mPolicies.put(WorkKind.SERVICE, new SpreadPolicy());
        mPolicies.put(WorkKind.BATCH, pack);
        mPolicies.put(WorkKind.GANG, new GangPolicy(pack));
    }

    /**
     * Chooses workers for waiting tasks of a job and holds room on them.
     *
     * @param limit most tasks to place; a gang is placed whole all the same
     */
    List<Assignment> place(JobEntry job, int limit) {
        boolean whole = job.mSpec.kind() == WorkKind.GANG;
        List<AttemptId> attempts = nextAttempts(job, whole ? Integer.MAX_VALUE : limit);
        Room room = job.mSpec.room();
        PlacementRequest request = new PlacementRequest(attempts, room, job.mSpread);
        PlacementPolicy policy = mPolicies.get(job.mSpec.kind());
        List<Assignment> placed = policy == null ? List.of() : policy.place(request, mFleet);
        if (placed.isEmpty()) {
            job.mReason = reasonToWait(job);
        }
        return placed;
    }

    private String reasonToWait(JobEntry job) {
        Room room = job.mSpec.room();
        String size = text(room);
        if (mFleet.index().rackNames().isEmpty()) {
            return "no worker may receive work now";
        }
        if (job.mSpec.kind() == WorkKind.GANG) {
            return "no room for all "
                    + job.mWaiting.size()
                    + " tasks of "
                    + size
                    + " together; free in all "
                    + text(mFleet.index().totalFree());
        }
        return "no worker has " + size + " free";
    }

    private static String text(Room room) {
        return room.cpuMillis()
                + " cpuMillis, "
                + room.memoryBytes()
                + " memoryBytes, "
                + room.accelerators()
                + " accelerators";
    }

    private static List<AttemptId> nextAttempts(JobEntry job, int limit) {
        List<AttemptId> attempts = new ArrayList<>();
        for (int index : job.mWaiting) {
            if (attempts.size() >= limit) {
                break;
            }
            TaskEntry task = job.mTasks[index];
            attempts.add(new AttemptId(task.mId, task.mAttempt + 1));
        }
        return attempts;
    }
}
