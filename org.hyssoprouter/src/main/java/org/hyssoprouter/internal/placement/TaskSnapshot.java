package org.hyssoprouter.internal.placement;

import java.util.List;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.TaskEnded;
import org.hyssoprouter.internal.journal.ShardEvent.TaskPlaced;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.TaskReport;

/** Creates the fewest events that restore a task: failures, last end and live attempt. */
final class TaskSnapshot {
    private TaskSnapshot() {}

    /** Appends the events that restore a task. */
    static void append(TaskEntry task, List<ShardEvent> events) {
        boolean lastFailed = task.mLastEndState == TaskReport.State.FAILED;
        // Only the number of failures matters, so earlier ones get the lowest attempt numbers.
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
