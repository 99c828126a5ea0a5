package org.hyssoprouter.internal.placement;

import java.util.HashSet;
import java.util.Set;
import org.hyssoprouter.internal.journal.ShardEvent.TaskPlaced;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.WorkerClient.StopMode;
import org.hyssoprouter.transport.WorkerStatus;

/** Reconciles the attempts that a worker reports with those that the scheduler expects there. */
final class InventoryReconciler {
    private final JobScheduler mScheduler;
    private final JobStore mStore;
    private final Fleet mFleet;
    private final PendingStops mStops;

    InventoryReconciler(JobScheduler scheduler, JobStore store, Fleet fleet, PendingStops stops) {
        mScheduler = scheduler;
        mStore = store;
        mFleet = fleet;
        mStops = stops;
    }

    /** Processes the reported attempts, then the expected ones that are not reported. */
    void reconcile(WorkerStatus status, long nowMillis, long wallMillis) {
        Set<AttemptId> reported = new HashSet<>();
        for (TaskReport report : status.tasks()) {
            reported.add(idOf(report));
            if (report.hasEnded()) {
                handleEnded(status.worker(), report, nowMillis, wallMillis);
            } else {
                handleRunning(status.worker(), report, nowMillis);
            }
        }
        for (AttemptId attempt : mFleet.attemptsOn(status.worker())) {
            if (!reported.contains(attempt)) {
                handleMissing(status, attempt, nowMillis, wallMillis);
            }
        }
    }

    /** Ends all attempts of a worker whose lease has expired. */
    void onLeaseExpired(String worker, long nowMillis, long wallMillis) {
        for (AttemptId attempt : mFleet.attemptsOn(worker)) {
            mScheduler.endAttempt(
                    attempt,
                    TaskReport.State.LEASE_LAPSED,
                    "worker " + worker + " was silent until its lease lapsed",
                    nowMillis,
                    wallMillis);
            releaseAttempt(worker, attempt);
        }
    }

    private void handleRunning(String worker, TaskReport report, long nowMillis) {
        AttemptId attempt = idOf(report);
        TaskEntry task = mStore.task(report.task());
        if (task != null && task.isLive() && isCurrent(task, worker, attempt)) {
            mScheduler.markRunning(attempt);
            raiseHeldRoom(task, report);
            return;
        }
        if (task != null && report.attempt() > task.mAttempt) {
            adopt(worker, task, report, nowMillis);
            return;
        }
        // The attempt is unknown or outdated; it holds its room until it is known to have stopped.
        mFleet.forceHold(worker, attempt, report.usage());
        mStops.add(attempt, worker, StopMode.KILL);
    }

    /** Holds the room that the task uses if that is more than was held for it. */
    private void raiseHeldRoom(TaskEntry task, TaskReport report) {
        JobEntry job = mStore.job(report.task().job());
        if (job != null) {
            mStore.raiseHeldRoom(job, task, report.usage());
        }
    }

    /**
     * Takes over an attempt that an earlier owner of the shard placed but could no longer journal.
     * The attempt before it has ended, because that owner would not have placed this one otherwise.
     */
    private void adopt(String worker, TaskEntry task, TaskReport report, long nowMillis) {
        JobEntry job = mStore.job(report.task().job());
        if (job == null) {
            return;
        }
        mStops.remove(task.attemptId());
        Room room = job.mSpec.room();
        mScheduler.record(new TaskPlaced(report.task(), report.attempt(), worker, room), nowMillis);
        mScheduler.markRunning(idOf(report));
        if (job.isEnding()) {
            mStops.add(idOf(report), worker, StopMode.KILL);
        }
    }

    private void handleEnded(String worker, TaskReport report, long nowMillis, long wallMillis) {
        TaskEntry task = mStore.task(report.task());
        if (task != null && task.isLive() && isElsewhere(task, worker, report)) {
            releaseAttempt(worker, idOf(report));
            return;
        }
        mScheduler.endAttempt(
                idOf(report),
                report.state(),
                report.usage(),
                report.message(),
                nowMillis,
                wallMillis);
        releaseAttempt(worker, idOf(report));
    }

    /** Ends an attempt that the worker does not report, unless its start may still arrive there. */
    private void handleMissing(
            WorkerStatus status, AttemptId attempt, long nowMillis, long wallMillis) {
        TaskEntry task = mStore.task(attempt.task());
        boolean current = task != null && isCurrent(task, status.worker(), attempt);
        if (current && task != null && status.workerMillis() <= task.mNotAfterMillis) {
            // The start may still be in flight and would be accepted by the worker.
            return;
        }
        if (current) {
            mScheduler.endAttempt(
                    attempt,
                    TaskReport.State.LEASE_LAPSED,
                    "worker " + status.worker() + " does not have it",
                    nowMillis,
                    wallMillis);
        }
        releaseAttempt(status.worker(), attempt);
    }

    private void releaseAttempt(String worker, AttemptId attempt) {
        mFleet.release(worker, attempt);
        mStops.remove(attempt);
    }

    private static boolean isCurrent(TaskEntry task, String worker, AttemptId attempt) {
        return task.mWorker.equals(worker) && task.attemptId().equals(attempt);
    }

    private static boolean isElsewhere(TaskEntry task, String worker, TaskReport report) {
        return task.mAttempt == report.attempt() && !task.mWorker.equals(worker);
    }

    private static AttemptId idOf(TaskReport report) {
        return new AttemptId(report.task(), report.attempt());
    }
}
