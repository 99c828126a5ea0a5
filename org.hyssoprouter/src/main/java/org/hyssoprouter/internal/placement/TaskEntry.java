package org.hyssoprouter.internal.placement;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.TaskReport;

/** Mutable state of one task, changed only through {@link JobScheduler}. */
final class TaskEntry {
    /** Value of {@link #mNotAfterMillis} while the start has not been sent to the worker. */
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
    // Worker of the last attempt if that failed, otherwise empty.
    String mLastFailedWorker = "";
    long mReadyMillis;
    long mPlacedMillis;
    // Instant on the clock of the worker until which it accepts the start. 0 if the attempt was
    // placed under an earlier epoch.
    long mNotAfterMillis;

    TaskEntry(TaskId id) {
        mId = id;
    }

    AttemptId attemptId() {
        return new AttemptId(mId, mAttempt);
    }

    /** Returns whether the last attempt may be running on a worker. */
    boolean isLive() {
        return mState == TaskState.STARTING
                || mState == TaskState.RUNNING
                || mState == TaskState.STOPPING;
    }

    /** Returns whether the task waits for a placement, possibly after a back-off. */
    boolean isPending() {
        return mState == TaskState.WAITING || mState == TaskState.BACKING_OFF;
    }
}
