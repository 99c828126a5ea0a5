package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;

/** Mutable state of one task; changed by {@link JobScheduler} only. */
final class TaskEntry {
    /** Not-after instant of an attempt whose start has not been handed to its worker. */
    static final long NOT_SENT = Long.MAX_VALUE;

    final TaskId mId;
    TaskState mState = TaskState.WAITING;
    int mAttempt;
    int mEndedAttempt;
    int mFailureCount;
    TaskReport.State mLastEndState = TaskReport.State.STOPPED;
    String mWorker = "";
    String mRack = "";
    Room mHeldRoom = Room.NONE;
    String mReason = "";
    // Worker of the last attempt if it failed, else empty.
    String mLastFailedWorker = "";
    long mReadyMillis;
    long mPlacedMillis;
    // On the clock of its worker; 0 for an attempt placed under an earlier epoch.
    long mNotAfterMillis;

    TaskEntry(TaskId id) {
        mId = id;
    }

    AttemptId attemptId() {
        return new AttemptId(mId, mAttempt);
    }

    /** Returns whether its last attempt may run somewhere. */
    boolean isLive() {
        return mState == TaskState.STARTING
                || mState == TaskState.RUNNING
                || mState == TaskState.STOPPING;
    }

    /** Returns whether it needs a worker now or later. */
    boolean isPending() {
        return mState == TaskState.WAITING || mState == TaskState.BACKING_OFF;
    }
}
