package org.hyssoprouter.standin.worker;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.TaskReport.State;

/** Attempt recorded by a worker; guarded by the lock of {@link WorkerState}. */
final class TaskRun {
    /** A running task reports no usage until it has run for this time. */
    private static final long USAGE_REPORT_DELAY_MILLIS = 1_000;

    private static final long NO_END_MILLIS = Long.MAX_VALUE;

    private final AttemptId mId;
    private final String mShard;
    private final Room mGranted;
    private final Room mUsage;
    private final boolean mFails;
    private final long mStartMillis;
    private long mEndMillis;
    private boolean mThrottled;
    private State mState = State.RUNNING;
    private String mMessage = "";

    private TaskRun(
            AttemptId id, String shard, Room granted, TaskCommand command, long startMillis) {
        mId = id;
        mShard = shard;
        mGranted = granted;
        mUsage = command.usage();
        mFails = command.fails();
        mStartMillis = startMillis;
        boolean isEndless = command.runMillis() <= 0;
        mEndMillis = isEndless ? NO_END_MILLIS : startMillis + command.runMillis();
    }

    /** Returns an attempt that starts at {@code startMillis}. */
    static TaskRun start(StartOrder order, long startMillis) {
        AttemptId id = new AttemptId(order.task(), order.attempt());
        TaskCommand command = TaskCommand.parse(order);
        return new TaskRun(id, order.shard(), order.room(), command, startMillis);
    }

    /** Returns a stopped attempt that records a stop received before the start. */
    static TaskRun stoppedBeforeStart(AttemptId id, String shard, long nowMillis) {
        TaskRun run =
                new TaskRun(id, shard, Room.NONE, new TaskCommand(0, false, Room.NONE), nowMillis);
        run.end(State.STOPPED, "stopped before it was started");
        return run;
    }

    AttemptId id() {
        return mId;
    }

    String shard() {
        return mShard;
    }

    Room granted() {
        return mGranted;
    }

    Room usage() {
        return mUsage;
    }

    boolean isRunning() {
        return mState == State.RUNNING;
    }

    State state() {
        return mState;
    }

    boolean hasReachedEnd(long nowMillis) {
        return nowMillis >= mEndMillis;
    }

    /** Ends the attempt with the result that its command simulates. */
    void complete() {
        end(mFails ? State.FAILED : State.SUCCEEDED, mFails ? "simulated failure (fail=1)" : "");
    }

    void end(State state, String message) {
        mState = state;
        mMessage = message;
    }

    /** Simulates half the processor time by doubling the remaining run time. */
    void throttle(long nowMillis) {
        if (mThrottled || mEndMillis == NO_END_MILLIS) {
            return;
        }
        mThrottled = true;
        mEndMillis += Math.max(0, mEndMillis - nowMillis);
    }

    TaskReport report(long nowMillis) {
        boolean isMeasured = !isRunning() || nowMillis - mStartMillis >= USAGE_REPORT_DELAY_MILLIS;
        Room usage = isMeasured ? mUsage : Room.NONE;
        return new TaskReport(mId.task(), mId.attempt(), mState, usage, mMessage);
    }
}
