package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** Picks the policy for a job and asks it for workers, within the quota of its customer. */
final class JobPlacer {
    private final Map<WorkKind, PlacementPolicy> mPolicies = new EnumMap<>(WorkKind.class);
    private final Fleet mFleet;
    private final LiveTasks mLiveTasks;
    private final TaskSizeEstimator mSizeEstimator;

    JobPlacer(Fleet fleet, LiveTasks live, TaskSizeEstimator sizes) {
        mFleet = fleet;
        mLiveTasks = live;
        mSizeEstimator = sizes;
        PackPolicy pack = new PackPolicy();
        mPolicies.put(WorkKind.SERVICE, new SpreadPolicy());
        mPolicies.put(WorkKind.BATCH, pack);
        mPolicies.put(WorkKind.GANG, new GangPolicy(pack));
    }

    /** Returns the room that a task of a job gets at present. */
    Room roomPerTask(JobEntry job) {
        return mSizeEstimator.estimate(job.mSpec, mFleet.largestCapacity());
    }

    /**
     * Chooses workers for waiting tasks of a job and holds room on them.
     *
     * @param limit most tasks to place; a gang is placed whole all the same
     */
    List<Assignment> place(JobEntry job, int limit, QuotaLookup quotas) {
        job.mWaitsForRoom = false;
        Option<Room> quota = quotas.quotaOf(job.mSpec.customer());
        if (quota.isEmpty()) {
            job.mReason = "customer " + job.mSpec.customer() + " is not configured";
            return List.of();
        }
        Room room = roomPerTask(job);
        Room left = quota.get().minus(mLiveTasks.usedBy(job.mSpec.customer()));
        long allowed = left.isNegative() ? 0 : Fleet.tasksFittingIn(room, left);
        boolean whole = job.mSpec.kind() == WorkKind.GANG;
        int wanted = whole ? job.mWaitingTasks.size() : (int) Math.min(limit, allowed);
        if (wanted == 0 || wanted > allowed) {
            job.mReason = quotaReason(job);
            return List.of();
        }
        if (wanted == allowed) {
            job.mReason = quotaReason(job);
        }
        return place(job, wanted, room);
    }

    private List<Assignment> place(JobEntry job, int wanted, Room room) {
        PlacementPolicy policy = mPolicies.get(job.mSpec.kind());
        List<Assignment> placed = new ArrayList<>();
        for (PlacementRequest request : requestsFor(job, wanted, room)) {
            List<Assignment> some = policy == null ? List.of() : policy.place(request, mFleet);
            placed.addAll(some);
            if (some.size() < request.attempts().size()) {
                job.mWaitsForRoom = true;
                job.mReason = waitReason(job, room);
                break;
            }
        }
        return placed;
    }

    /** Asks for the tasks together, but for those that failed somewhere: each avoids its worker. */
    private static List<PlacementRequest> requestsFor(JobEntry job, int wanted, Room room) {
        List<PlacementRequest> requests = new ArrayList<>();
        List<AttemptId> together = new ArrayList<>();
        boolean whole = job.mSpec.kind() == WorkKind.GANG;
        int left = wanted;
        for (int index : job.mWaitingTasks) {
            if (left-- == 0) {
                break;
            }
            TaskEntry task = job.mTasks[index];
            AttemptId next = new AttemptId(task.mId, task.mAttempt + 1);
            if (whole || task.mLastFailedWorker.isEmpty()) {
                together.add(next);
            } else {
                requests.add(
                        new PlacementRequest(
                                List.of(next), room, job.mSpread, task.mLastFailedWorker));
            }
        }
        if (!together.isEmpty()) {
            requests.add(new PlacementRequest(together, room, job.mSpread, ""));
        }
        return requests;
    }

    private static String quotaReason(JobEntry job) {
        return "quota of customer " + job.mSpec.customer() + " is used up";
    }

    private String waitReason(JobEntry job, Room room) {
        String size = format(room);
        if (mFleet.index().rackNames().isEmpty()) {
            return "no worker may receive work now";
        }
        if (job.mSpec.kind() == WorkKind.GANG) {
            return "no room for all "
                    + job.mWaitingTasks.size()
                    + " tasks of "
                    + size
                    + " together; free in all "
                    + format(mFleet.index().totalFree());
        }
        return "no worker has " + size + " free";
    }

    private static String format(Room room) {
        return room.cpuMillis()
                + " cpuMillis, "
                + room.memoryBytes()
                + " memoryBytes, "
                + room.accelerators()
                + " accelerators";
    }
}
