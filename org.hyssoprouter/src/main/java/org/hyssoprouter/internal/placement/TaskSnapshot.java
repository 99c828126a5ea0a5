package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.TaskEnded;
import org.hyssoprouter.internal.journal.ShardEvent.TaskPlaced;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.TaskReport;

/** Shortest events that restore a task: its failures, its last end, and its live attempt. */
final class TaskSnapshot {
    private TaskSnapshot() {}

    static void append(TaskEntry task, List<ShardEvent> events) {
        boolean lastFailed = task.mLastEndState == TaskReport.State.FAILED;
        // Failures get the first attempt numbers; only their count matters.
        int earlierFailures = task.mFailureCount - (lastFailed ? 1 : 0);
        for (int attempt = 1; attempt <= earlierFailures; attempt++) {
            events.add(ended(task, attempt, TaskReport.State.FAILED));
        }
        if (task.mEndedAttempt > 0) {
            events.add(ended(task, task.mEndedAttempt, task.mLastEndState));
        }
        if (task.isLive()) {
            events.add(new TaskPlaced(task.mId, task.mAttempt, task.mWorker, task.mHeldRoom));
        }
    }

    private static TaskEnded ended(TaskEntry task, int attempt, TaskReport.State state) {
        return new TaskEnded(task.mId, attempt, state, Room.NONE, task.mReason);
    }
}
