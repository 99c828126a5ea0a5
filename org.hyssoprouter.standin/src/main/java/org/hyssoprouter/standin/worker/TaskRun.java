package org.hyssoprouter.standin.worker;

import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.LeaseRenewal.AttemptId;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.transport.TaskReport;
import org.hyssoprouter.transport.TaskReport.State;

/** One attempt known to the worker; guarded by the lock of its {@link WorkerState}. */
final class TaskRun {
    /** Age below which the usage of a task has not been measured yet. */
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
        boolean endless = command.runMillis() <= 0;
        mEndMillis = endless ? NO_END_MILLIS : startMillis + command.runMillis();
    }

    /** Returns an attempt that runs from {@code startMillis} on. */
    static TaskRun start(StartOrder order, long startMillis) {
        AttemptId id = new AttemptId(order.task(), order.attempt());
        TaskCommand command = TaskCommand.parse(order);
        return new TaskRun(id, order.shard(), order.room(), command, startMillis);
    }

    /** Returns the mark of an attempt that was stopped before it was seen. */
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

    /** Ends the attempt by itself. */
    void complete() {
        end(mFails ? State.FAILED : State.SUCCEEDED, mFails ? "ordered to fail" : "");
    }

    void end(State state, String message) {
        mState = state;
        mMessage = message;
    }

    /** Halves the processor time, which doubles what is left of the run time. */
    void throttle(long nowMillis) {
        if (mThrottled || mEndMillis == NO_END_MILLIS) {
            return;
        }
        mThrottled = true;
        mEndMillis += Math.max(0, mEndMillis - nowMillis);
    }

    TaskReport report(long nowMillis) {
        boolean measured = !isRunning() || nowMillis - mStartMillis >= USAGE_REPORT_DELAY_MILLIS;
        Room usage = measured ? mUsage : Room.NONE;
        return new TaskReport(mId.task(), mId.attempt(), mState, usage, mMessage);
    }
}
