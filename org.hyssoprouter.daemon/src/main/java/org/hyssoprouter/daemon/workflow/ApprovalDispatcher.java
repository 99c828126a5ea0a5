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
    private static final long INITIAL_BACKOFF_MILLIS = 1_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /** Every so many daemons, one is kept free for short calls. */
    private static final int DAEMONS_PER_RESERVED_DAEMON = 3;

    /** Time between two pings of a daemon. */
    private static final long PING_INTERVAL_MILLIS = 400;

    /** Age of the last answer of a daemon up to which it gets calls. */
    private static final long PING_VALIDITY_MILLIS = 1_200;

    /** Short calls that may be under way through a daemon; the second hides the way there. */
    private static final int MAX_SHORT_CALLS = 2;

    private final MemberRegistry mMembers;
    private final ApprovalTransport mTransport;
    private final PoolScheduler mScheduler;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Runnable mOnResult;
    private final WorkflowMeters mMeters;
    private final List<ApprovalRequest> mPendingRequests = new ArrayList<>();
    private final Map<String, MemberState> mMemberStates = new HashMap<>();
    private boolean mClosed;

    /** Calls through one daemon. */
    private static final class MemberState {
        int mOpenCalls;
        boolean mPingOutstanding;
        long mPingSentMillis;
        long mAnsweredPingMillis = -1;
        int mConsecutiveFailures;
        long mBackoffEndMillis;
    }

    /** Asks the approval service through a daemon. */
    interface ApprovalTransport {
        CompletableFuture<Either<CallError, ApprovalTickets>> requestApproval(
                MemberRow via, ApprovalRequest request, long timeoutMillis);

        /** Asks whether a daemon answers. */
        CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis);
    }

    ApprovalDispatcher(
            MemberRegistry members,
            ApprovalTransport calls,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Runnable answered,
            WorkflowMeters meters) {
        mMeters = meters;
        mMembers = members;
        mTransport = calls;
        mScheduler = scheduler;
        mThread = thread;
        mClock = clock;
        mOnResult = answered;
    }

    void close() {
        mClosed = true;
    }

    void enqueue(List<ApprovalRequest> requests) {
        mPendingRequests.addAll(requests);
        mPendingRequests.sort(Comparator.comparingInt(ApprovalRequest::priority));
        dispatch();
    }

    /** Asks the daemons that are due for a ping whether they answer. */
    void pingMembers() {
        for (MemberRow member : mMembers.all()) {
            MemberState lane = stateOf(member);
            long nowMillis = mClock.millis();
            boolean due =
                    !lane.mPingOutstanding
                            && nowMillis - lane.mPingSentMillis >= PING_INTERVAL_MILLIS;
            if (mClosed || !due || member.equals(mMembers.self())) {
                continue;
            }
            lane.mPingOutstanding = true;
            lane.mPingSentMillis = nowMillis;
            CompletableFuture<Void> unused =
                    mTransport
                            .ping(member, PING_VALIDITY_MILLIS)
                            .thenAccept(
                                    seen -> mThread.execute(() -> handlePingResult(lane, seen)));
        }
    }

    private void handlePingResult(MemberState lane, boolean seen) {
        lane.mPingOutstanding = false;
        if (seen) {
            lane.mAnsweredPingMillis = lane.mPingSentMillis;
            dispatch();
        }
    }

    private boolean isReachable(MemberRow member) {
        if (member.equals(mMembers.self())) {
            return true;
        }
        MemberState lane = stateOf(member);
        return lane.mAnsweredPingMillis >= 0
                && mClock.millis() - lane.mAnsweredPingMillis < PING_VALIDITY_MILLIS;
    }

    /** Sends what waits through the daemons that are free. */
    void dispatch() {
        if (mClosed || mPendingRequests.isEmpty()) {
            return;
        }
        List<MemberRow> members = mMembers.all().stream().filter(this::isReachable).toList();
        int forShort = members.size() / DAEMONS_PER_RESERVED_DAEMON;
        int longLanes = Math.max(1, members.size() - forShort);
        List<ApprovalRequest> left = new ArrayList<>();
        for (ApprovalRequest request : mPendingRequests) {
            boolean isLong = request.expectedMillis() >= LONG_CALL_MILLIS;
            MemberRow via =
                    isLong
                            ? leastLoaded(members.subList(0, longLanes), 1)
                            : leastLoaded(reversed(members), MAX_SHORT_CALLS);
            if (via == null) {
                left.add(request);
            } else {
                send(request, via, isLong ? MAX_SHORT_CALLS : 1);
            }
        }
        mPendingRequests.clear();
        mPendingRequests.addAll(left);
    }

    // Short calls look from the other end, so that they seldom meet the long ones.
    private static List<MemberRow> reversed(List<MemberRow> members) {
        List<MemberRow> reversed = new ArrayList<>(members);
        Collections.reverse(reversed);
        return reversed;
    }

    /** Returns the daemon with the fewest open calls of those with less than a limit. */
    private @Nullable MemberRow leastLoaded(List<MemberRow> members, int limit) {
        long nowMillis = mClock.millis();
        MemberRow best = null;
        int fewest = limit;
        for (MemberRow member : members) {
            MemberState lane = stateOf(member);
            if (lane.mOpenCalls < fewest && lane.mBackoffEndMillis <= nowMillis) {
                best = member;
                fewest = lane.mOpenCalls;
            }
        }
        return best;
    }

    private MemberState stateOf(MemberRow member) {
        return mMemberStates.computeIfAbsent(
                member.name() + member.incarnation(), name -> new MemberState());
    }

    private void send(ApprovalRequest request, MemberRow via, int weight) {
        MemberState lane = stateOf(via);
        lane.mOpenCalls += weight;
        long sentMillis = mClock.millis();
        long timeoutMillis = (long) request.expectedMillis() + TIMEOUT_SLACK_MILLIS;
        CompletableFuture<Void> unused =
                mTransport
                        .requestApproval(via, request, timeoutMillis)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> {
                                                    lane.mOpenCalls -= weight;
                                                    handleResult(
                                                            request, via, lane, result, sentMillis);
                                                }));
    }

    private void handleResult(
            ApprovalRequest request,
            MemberRow via,
            MemberState lane,
            Either<CallError, ApprovalTickets> result,
            long sentMillis) {
        if (mClosed) {
            return;
        }
        long nowMillis = mClock.millis();
        mMeters.recordApproval(result.isRight() ? "answered" : "failed", nowMillis - sentMillis);
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
            lane.mBackoffEndMillis =
                    nowMillis + (INITIAL_BACKOFF_MILLIS << lane.mConsecutiveFailures);
            lane.mConsecutiveFailures =
                    Math.min(MAX_BACKOFF_DOUBLINGS, lane.mConsecutiveFailures + 1);
            mScheduler.handleApprovalFailure(request, nowMillis);
        } else {
            lane.mConsecutiveFailures = 0;
            mScheduler.handleApproval(request, result.get(), sentMillis, nowMillis);
        }
        mOnResult.run();
        dispatch();
    }
}
