package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Spreads requests for approval over all daemons, since the service serves one call at a time for
 * each caller. Load pattern: calls of a second for wide gangs beside many short urgent ones; long
 * calls keep off some of the daemons, so that these stay free for short ones.
 */
final class ApprovalDispatcher {
    private static final EventLogger LOG = EventLogger.of(ApprovalDispatcher.class);

    /** Calls of this length or longer keep off the daemons that are set apart for short ones. */
    private static final double LONG_CALL_MILLIS = 250;

    /** Added to the expected time before a call counts as lost. */
    private static final long TIMEOUT_SLACK_MILLIS = 350;

    /** Time for which a daemon whose call failed gets none; doubles with each failure. */
    private static final long FAILED_MILLIS = 1_000;

    private static final int MAX_DOUBLINGS = 3;

    /** Every so many daemons, one is kept free for short calls. */
    private static final int DAEMONS_FOR_ONE_SHORT = 3;

    /** Time between two pings of a daemon. */
    private static final long PING_MILLIS = 400;

    /** Age of the last answer of a daemon up to which it gets calls. */
    private static final long SEEN_MILLIS = 1_200;

    /** Short calls that may be under way through a daemon; the second hides the way there. */
    private static final int SHORT_CALLS = 2;

    private final Members mMembers;
    private final ApprovalCalls mCalls;
    private final PoolScheduler mScheduler;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Runnable mAnswered;
    private final WorkflowMeters mMeters;
    private final List<ApprovalRequest> mWaiting = new ArrayList<>();
    private final Map<String, Lane> mLanes = new HashMap<>();
    private boolean mClosed;

    /** Calls through one daemon. */
    private static final class Lane {
        int mOpen;
        boolean mPinged;
        long mPingMillis;
        long mSeenMillis = -1;
        int mFailures;
        long mNotBeforeMillis;
    }

    /** Asks the approval service through a daemon. */
    interface ApprovalCalls {
        CompletableFuture<Either<CallError, ApprovalTickets>> ask(
                MemberRow via, ApprovalRequest request, long timeoutMillis);

        /** Asks whether a daemon answers. */
        CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis);
    }

    ApprovalDispatcher(
            Members members,
            ApprovalCalls calls,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Runnable answered,
            WorkflowMeters meters) {
        mMeters = meters;
        mMembers = members;
        mCalls = calls;
        mScheduler = scheduler;
        mThread = thread;
        mClock = clock;
        mAnswered = answered;
    }

    void close() {
        mClosed = true;
    }

    void add(List<ApprovalRequest> requests) {
        mWaiting.addAll(requests);
        mWaiting.sort(Comparator.comparingInt(ApprovalRequest::priority));
        pump();
    }

    /** Asks the daemons that are due for a ping whether they answer. */
    void ping() {
        for (MemberRow member : mMembers.all()) {
            Lane lane = laneOf(member);
            long nowMillis = mClock.millis();
            boolean due = !lane.mPinged && nowMillis - lane.mPingMillis >= PING_MILLIS;
            if (mClosed || !due || member.equals(mMembers.self())) {
                continue;
            }
            lane.mPinged = true;
            lane.mPingMillis = nowMillis;
            CompletableFuture<Void> unused =
                    mCalls.ping(member, SEEN_MILLIS)
                            .thenAccept(seen -> mThread.execute(() -> pinged(lane, seen)));
        }
    }

    private void pinged(Lane lane, boolean seen) {
        lane.mPinged = false;
        if (seen) {
            lane.mSeenMillis = lane.mPingMillis;
            pump();
        }
    }

    private boolean isSeen(MemberRow member) {
        if (member.equals(mMembers.self())) {
            return true;
        }
        Lane lane = laneOf(member);
        return lane.mSeenMillis >= 0 && mClock.millis() - lane.mSeenMillis < SEEN_MILLIS;
    }

    /** Sends what waits through the daemons that are free. */
    void pump() {
        if (mClosed || mWaiting.isEmpty()) {
            return;
        }
        List<MemberRow> members = mMembers.all().stream().filter(this::isSeen).toList();
        int forShort = members.size() / DAEMONS_FOR_ONE_SHORT;
        int longLanes = Math.max(1, members.size() - forShort);
        List<ApprovalRequest> left = new ArrayList<>();
        for (ApprovalRequest request : mWaiting) {
            boolean isLong = request.expectedMillis() >= LONG_CALL_MILLIS;
            MemberRow via =
                    isLong
                            ? free(members.subList(0, longLanes), 1)
                            : free(inReverse(members), SHORT_CALLS);
            if (via == null) {
                left.add(request);
            } else {
                send(request, via, isLong ? SHORT_CALLS : 1);
            }
        }
        mWaiting.clear();
        mWaiting.addAll(left);
    }

    // Short calls look from the other end, so that they seldom meet the long ones.
    private static List<MemberRow> inReverse(List<MemberRow> members) {
        List<MemberRow> reversed = new ArrayList<>(members);
        Collections.reverse(reversed);
        return reversed;
    }

    /** Returns the daemon with the fewest open calls of those with less than a limit. */
    private @Nullable MemberRow free(List<MemberRow> members, int limit) {
        long nowMillis = mClock.millis();
        MemberRow best = null;
        int fewest = limit;
        for (MemberRow member : members) {
            Lane lane = laneOf(member);
            if (lane.mOpen < fewest && lane.mNotBeforeMillis <= nowMillis) {
                best = member;
                fewest = lane.mOpen;
            }
        }
        return best;
    }

    private Lane laneOf(MemberRow member) {
        return mLanes.computeIfAbsent(member.name() + member.incarnation(), name -> new Lane());
    }

    private void send(ApprovalRequest request, MemberRow via, int weight) {
        Lane lane = laneOf(via);
        lane.mOpen += weight;
        long sentMillis = mClock.millis();
        long timeoutMillis = (long) request.expectedMillis() + TIMEOUT_SLACK_MILLIS;
        CompletableFuture<Void> unused =
                mCalls.ask(via, request, timeoutMillis)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> {
                                                    lane.mOpen -= weight;
                                                    answered(
                                                            request, via, lane, result, sentMillis);
                                                }));
    }

    private void answered(
            ApprovalRequest request,
            MemberRow via,
            Lane lane,
            Either<CallError, ApprovalTickets> result,
            long sentMillis) {
        if (mClosed) {
            return;
        }
        long nowMillis = mClock.millis();
        mMeters.approved(result.isRight() ? "answered" : "failed", nowMillis - sentMillis);
        String approved =
                result.fold(CallError::message, it -> Integer.toString(it.tickets().size()));
        LOG.log(
                LogEvent.APPROVAL_ANSWERED,
                request.step(),
                request.workers().size(),
                approved,
                nowMillis - sentMillis,
                via.name());
        if (result.isLeft()) {
            lane.mNotBeforeMillis = nowMillis + (FAILED_MILLIS << lane.mFailures);
            lane.mFailures = Math.min(MAX_DOUBLINGS, lane.mFailures + 1);
            mScheduler.handleApprovalFailure(request, nowMillis);
        } else {
            lane.mFailures = 0;
            mScheduler.handleApproval(request, result.get(), sentMillis, nowMillis);
        }
        mAnswered.run();
        pump();
    }
}
