package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
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
 * Distributes approval requests over all daemons, because the approval service serves one call at a
 * time per caller. Long calls (about a second, for wide gangs) are kept off some daemons, which
 * stay free for the many short, urgent ones.
 */
final class ApprovalDispatcher {
    private static final EventLogger LOG = EventLogger.of(ApprovalDispatcher.class);

    /** Added to the expected duration of a call to get its timeout. */
    private static final long TIMEOUT_SLACK_MILLIS = 350;

    /**
     * Time for which a daemon gets no calls after a failed one; doubles with each further failure.
     */
    private static final long INITIAL_BACKOFF_MILLIS = 1_000;

    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /** One of this many daemons is reserved for short calls, as long ones would delay them. */
    private static final int DAEMONS_PER_RESERVED_DAEMON = 3;

    /** Maximum number of reserved daemons: 16 calls of 0.1 s at a time carry a burst. */
    private static final int MAX_RESERVED_DAEMONS = 8;

    /** Interval between two pings of a daemon. */
    private static final long PING_INTERVAL_MILLIS = 400;

    /** Timeout of a ping, and time for which a daemon that answered one is considered reachable. */
    private static final long PING_VALIDITY_MILLIS = 1_200;

    /** Usual duration of a short call; a daemon that is nearer by more is worth waiting for. */
    private static final long SHORT_CALL_MILLIS = 25;

    /** Weight of the last ping in the moving average of a daemon's round trip: one over this. */
    private static final int ROUND_TRIP_WEIGHT = 4;

    /** Concurrent short calls through one daemon; the second one hides the network latency. */
    private static final int MAX_SHORT_CALLS = 2;

    private final MemberRegistry mMembers;
    private final ApprovalTransport mTransport;
    private final PoolScheduler mScheduler;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final Runnable mOnResult;
    private final WorkflowMeters mMeters;
    private final OwnerLoadMonitor mLoadMonitor;
    private final PendingApprovals mPendingRequests = new PendingApprovals();
    private final Map<MemberKey, MemberState> mMemberStates = new HashMap<>();
    private final AbsentMemberRemover mAbsentMemberRemover;
    private boolean mClosed;

    /** Identifies one incarnation of a daemon. */
    private record MemberKey(String name, String incarnation) {}

    /** Open calls and reachability of one daemon. */
    private static final class MemberState {
        int mOpenCalls;
        boolean mPingOutstanding;
        long mPingSentMillis;
        long mAnsweredPingMillis = -1;

        /** Moving average of the time from a ping to its answer, in milliseconds. */
        long mRoundTripMillis;

        void recordRoundTrip(long millis) {
            mRoundTripMillis +=
                    mAnsweredPingMillis < 0
                            ? millis
                            : (millis - mRoundTripMillis) / ROUND_TRIP_WEIGHT;
        }

        int mConsecutiveFailures;
        long mBackoffEndMillis;
    }

    /** Calls the approval service through a daemon. */
    interface ApprovalTransport {
        CompletableFuture<Either<CallError, ApprovalTickets>> requestApproval(
                MemberRow via, ApprovalRequest request, long timeoutMillis);

        /** Returns whether a daemon answered a ping. */
        CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis);
    }

    ApprovalDispatcher(
            MemberRegistry members,
            ApprovalTransport transport,
            PoolScheduler scheduler,
            SerialExecutor thread,
            MonotonicClock clock,
            Runnable onResult,
            WorkflowMeters meters,
            OwnerLoadMonitor loadMonitor) {
        mMeters = meters;
        mLoadMonitor = loadMonitor;
        mMembers = members;
        mTransport = transport;
        mScheduler = scheduler;
        mThread = thread;
        mClock = clock;
        mOnResult = onResult;
        mAbsentMemberRemover = new AbsentMemberRemover(members, thread);
    }

    void close() {
        mClosed = true;
    }

    void enqueue(List<ApprovalRequest> requests) {
        requests.forEach(mPendingRequests::add);
        dispatch();
    }

    /** Pings the other daemons whose ping interval has elapsed, and removes those that are gone. */
    void pingMembers() {
        if (mClosed) {
            return;
        }
        mAbsentMemberRemover.removeAbsent(mClock.millis());
        List<MemberRow> members = mMembers.all();
        forgetUnlisted(members);
        for (MemberRow member : members) {
            MemberState state = stateOf(member);
            long nowMillis = mClock.millis();
            boolean due =
                    !state.mPingOutstanding
                            && nowMillis - state.mPingSentMillis >= PING_INTERVAL_MILLIS;
            if (!due || member.equals(mMembers.self())) {
                continue;
            }
            state.mPingOutstanding = true;
            state.mPingSentMillis = nowMillis;
            CompletableFuture<Void> unused =
                    PortCalls.recover(
                                    mTransport.ping(member, PING_VALIDITY_MILLIS),
                                    "ping",
                                    reason -> false)
                            .thenAccept(
                                    answered ->
                                            mThread.execute(
                                                    () ->
                                                            handlePingResult(
                                                                    member, state, answered)));
        }
    }

    /**
     * Forgets members that are gone and earlier incarnations; their open calls end by themselves.
     */
    private void forgetUnlisted(List<MemberRow> members) {
        if (mMemberStates.size() > members.size()) {
            mMemberStates
                    .keySet()
                    .retainAll(members.stream().map(ApprovalDispatcher::keyOf).toList());
        }
    }

    private void handlePingResult(MemberRow member, MemberState state, boolean answered) {
        state.mPingOutstanding = false;
        mAbsentMemberRemover.recordPing(member, answered, state.mPingSentMillis);
        if (answered) {
            // The transport bounds the time to the answer; a later handling is this side's delay.
            long nowMillis = mClock.millis();
            state.recordRoundTrip(nowMillis - state.mPingSentMillis);
            state.mAnsweredPingMillis = nowMillis;
            dispatch();
        }
    }

    private boolean isReachable(MemberRow member) {
        if (member.equals(mMembers.self())) {
            return true;
        }
        MemberState state = stateOf(member);
        return state.mAnsweredPingMillis >= 0
                && mClock.millis() - state.mAnsweredPingMillis < PING_VALIDITY_MILLIS;
    }

    /** Returns the reachable daemons, the nearest first. */
    private List<MemberRow> reachableMembers() {
        return mMembers.all().stream()
                .filter(this::isReachable)
                .sorted(Comparator.comparingLong(it -> stateOf(it).mRoundTripMillis))
                .toList();
    }

    private static int longCallMemberCount(int members) {
        int reserved = Math.min(MAX_RESERVED_DAEMONS, members / DAEMONS_PER_RESERVED_DAEMON);
        return Math.max(1, members - reserved);
    }

    /** Numbers of further calls that may wait. */
    record RemainingCalls(int shortCalls, int longCalls) {}

    /**
     * Returns how many more calls may wait. As many may wait as the daemons make at a time, so that
     * each is answered while its request is still of use.
     */
    RemainingCalls remainingCalls() {
        int members = usableMemberCount();
        int longCalls = longCallMemberCount(members) - mPendingRequests.longCallCount();
        int shortCalls = members * MAX_SHORT_CALLS - mPendingRequests.shortCallCount();
        return new RemainingCalls(Math.max(0, shortCalls), Math.max(0, longCalls));
    }

    private int usableMemberCount() {
        long nowMillis = mClock.millis();
        int count = 0;
        for (MemberRow member : reachableMembers()) {
            if (stateOf(member).mBackoffEndMillis <= nowMillis) {
                count++;
            }
        }
        return count;
    }

    /**
     * Sends pending requests through daemons with spare capacity, urgent ones first. Examines no
     * more requests than it sends, as it runs with every answer.
     */
    void dispatch() {
        if (mClosed || mPendingRequests.size() == 0) {
            return;
        }
        long startNanos = System.nanoTime();
        List<MemberRow> shortCallMembers = reachableMembers();
        int count = shortCallMembers.size();
        // The nearest daemons are reserved; the farthest may be hosts that are just starting.
        List<MemberRow> longCallMembers =
                shortCallMembers.subList(count - longCallMemberCount(count), count);
        boolean sent = true;
        while (sent) {
            sent = sendNext(longCallMembers, shortCallMembers);
        }
        mLoadMonitor.recordApprovalDispatch(
                mPendingRequests.size(), System.nanoTime() - startNanos);
    }

    /** Sends the most urgent request that some daemon can take. Returns false if there is none. */
    private boolean sendNext(List<MemberRow> longCallMembers, List<MemberRow> shortCallMembers) {
        MemberRow viaLong =
                mPendingRequests.longCallCount() > 0 ? firstIdle(longCallMembers) : null;
        MemberRow viaShort =
                mPendingRequests.shortCallCount() > 0 ? quickest(shortCallMembers) : null;
        if (viaLong != null && (viaShort == null || mPendingRequests.isLongCallNext())) {
            send(mPendingRequests.removeLongCall(), viaLong, MAX_SHORT_CALLS);
            return true;
        }
        if (viaShort != null) {
            send(mPendingRequests.removeShortCall(), viaShort, 1);
            return true;
        }
        return false;
    }

    /** Returns the first daemon without open calls, or null if all are occupied. */
    private @Nullable MemberRow firstIdle(List<MemberRow> members) {
        long nowMillis = mClock.millis();
        for (MemberRow member : members) {
            MemberState state = stateOf(member);
            if (state.mOpenCalls == 0 && state.mBackoffEndMillis <= nowMillis) {
                return member;
            }
        }
        return null;
    }

    /**
     * Returns the daemon through which a short call is expected to be answered first, or null if
     * all are occupied.
     */
    private @Nullable MemberRow quickest(List<MemberRow> members) {
        long nowMillis = mClock.millis();
        MemberRow best = null;
        long shortest = Long.MAX_VALUE;
        for (MemberRow member : members) {
            MemberState state = stateOf(member);
            long millis = state.mRoundTripMillis + state.mOpenCalls * SHORT_CALL_MILLIS;
            if (state.mOpenCalls < MAX_SHORT_CALLS
                    && state.mBackoffEndMillis <= nowMillis
                    && millis < shortest) {
                best = member;
                shortest = millis;
            }
        }
        return best;
    }

    private MemberState stateOf(MemberRow member) {
        return mMemberStates.computeIfAbsent(keyOf(member), key -> new MemberState());
    }

    private static MemberKey keyOf(MemberRow member) {
        return new MemberKey(member.name(), member.incarnation());
    }

    /** Returns the number of members whose state is kept. */
    int memberStateCount() {
        return mMemberStates.size();
    }

    private void send(ApprovalRequest request, MemberRow via, int weight) {
        MemberState state = stateOf(via);
        state.mOpenCalls += weight;
        long sentMillis = mClock.millis();
        long timeoutMillis = (long) request.expectedMillis() + TIMEOUT_SLACK_MILLIS;
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTransport.requestApproval(via, request, timeoutMillis),
                                "approval request",
                                ApprovalDispatcher::brokenCall)
                        .thenAccept(
                                result ->
                                        mThread.execute(
                                                () -> {
                                                    state.mOpenCalls -= weight;
                                                    handleResult(
                                                            request,
                                                            via,
                                                            state,
                                                            result,
                                                            sentMillis);
                                                }));
    }

    private static Either<CallError, ApprovalTickets> brokenCall(String reason) {
        return Either.left(CallError.mayHaveRun(CallError.Kind.BROKEN, reason));
    }

    private void handleResult(
            ApprovalRequest request,
            MemberRow via,
            MemberState state,
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
            state.mBackoffEndMillis =
                    nowMillis + (INITIAL_BACKOFF_MILLIS << state.mConsecutiveFailures);
            state.mConsecutiveFailures =
                    Math.min(MAX_BACKOFF_DOUBLINGS, state.mConsecutiveFailures + 1);
            mScheduler.handleApprovalFailure(request, nowMillis);
        } else {
            state.mConsecutiveFailures = 0;
            mScheduler.handleApproval(request, result.get(), sentMillis, nowMillis);
        }
        mOnResult.run();
        dispatch();
    }
}
