package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.internal.workspace.Quota;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;

/** Places tasks of a job by the policy for its kind, within the quota of its customer. */
final class JobPlacer {
    private final Map<WorkKind, PlacementPolicy> mPolicies = new EnumMap<>(WorkKind.class);
    private final Fleet mFleet;
    private final LiveTasks mLiveTasks;
    private final TaskSizeEstimator mSizeEstimator;

    JobPlacer(Fleet fleet, LiveTasks liveTasks, TaskSizeEstimator sizeEstimator) {
        mFleet = fleet;
        mLiveTasks = liveTasks;
        mSizeEstimator = sizeEstimator;
        PackPolicy pack = new PackPolicy();
        mPolicies.put(WorkKind.SERVICE, new SpreadPolicy());
        mPolicies.put(WorkKind.BATCH, pack);
        mPolicies.put(WorkKind.GANG, new GangPolicy(pack));
    }

    /** Returns the room to hold for each new attempt of a job. */
    Room roomPerTask(JobEntry job) {
        return mSizeEstimator.estimate(job.mSpec, mFleet.largestCapacity());
    }

    /**
     * Chooses workers for waiting tasks of a job and holds room on them.
     *
     * @param limit maximum number of tasks to place; does not apply to a gang, which is placed
     *     whole
     */
    List<Assignment> place(JobEntry job, int limit, QuotaLookup quotas) {
        job.mWaitsForRoom = false;
        Option<Room> quota = quotas.quotaOf(job.mSpec.customer());
        if (quota.isEmpty()) {
            job.mReason = "customer " + job.mSpec.customer() + " is not configured";
            return List.of();
        }
        Room room = roomPerTask(job);
        Room used = mLiveTasks.usedBy(job.mSpec.customer());
        long allowed = Quota.remainingTasks(room, quota.get(), used);
        boolean isGang = job.mSpec.kind() == WorkKind.GANG;
        int count = isGang ? job.mWaitingTasks.size() : (int) Math.min(limit, allowed);
        if (count == 0 || count > allowed) {
            job.mReason = quotaReason(job);
            return List.of();
        }
        if (count == allowed) {
            job.mReason = quotaReason(job);
        }
        return place(job, count, room);
    }

    private List<Assignment> place(JobEntry job, int count, Room room) {
        PlacementPolicy policy = mPolicies.get(job.mSpec.kind());
        List<Assignment> placed = new ArrayList<>();
        for (PlacementRequest request : requestsFor(job, count, room)) {
            List<Assignment> assignments =
                    policy == null ? List.of() : policy.place(request, mFleet);
            placed.addAll(assignments);
            if (assignments.size() < request.attempts().size()) {
                job.mWaitsForRoom = true;
                job.mReason = waitReason(job, room);
                break;
            }
        }
        return placed;
    }

    /**
     * Creates a request for each task whose last attempt failed, to avoid that worker, and one for
     * the others. A gang is always one request.
     */
    private static List<PlacementRequest> requestsFor(JobEntry job, int count, Room room) {
        List<PlacementRequest> requests = new ArrayList<>();
        List<AttemptId> unrestricted = new ArrayList<>();
        boolean isGang = job.mSpec.kind() == WorkKind.GANG;
        int remaining = count;
        for (int index : job.mWaitingTasks) {
            if (remaining-- == 0) {
                break;
            }
            TaskEntry task = job.mTasks[index];
            AttemptId next = new AttemptId(task.mId, task.mAttempt + 1);
            if (isGang || task.mLastFailedWorker.isEmpty()) {
                unrestricted.add(next);
            } else {
                requests.add(
                        new PlacementRequest(
                                List.of(next), room, job.mSpread, task.mLastFailedWorker));
            }
        }
        if (!unrestricted.isEmpty()) {
            requests.add(new PlacementRequest(unrestricted, room, job.mSpread, ""));
        }
        return requests;
    }

    private static String quotaReason(JobEntry job) {
        return "quota of customer " + job.mSpec.customer() + " is exhausted";
    }

    private String waitReason(JobEntry job, Room room) {
        String size = format(room);
        if (mFleet.index().rackNames().isEmpty()) {
            return "no worker is available for new tasks";
        }
        if (job.mSpec.kind() == WorkKind.GANG) {
            return "no room for all "
                    + job.mWaitingTasks.size()
                    + " tasks of "
                    + size
                    + " at once; total free room is "
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
