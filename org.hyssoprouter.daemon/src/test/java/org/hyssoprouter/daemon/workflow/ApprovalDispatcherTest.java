package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.lib.workflow.ApprovalRequest;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.lib.workflow.StepKey;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ApprovalDispatcherTest {
    private static final int BACKLOG = 1_000;

    /** Maximum number of clock reads to handle the answer of one of few daemons. */
    private static final int MAX_CLOCK_READS = 50;

    private final CountingClock mClock = new CountingClock();
    private final SchedulerFixture mFixture = new SchedulerFixture();
    private final ManualApprovals mApprovals = new ManualApprovals();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "d", "run", "127.0.0.1:1", new SchedulerLimits(6_000, 900, 2_500), 1_500, 1);
    private final MemberRegistry mMembers = members(new UnansweredTable());
    private final MemberRegistry mMembersWithPeer = members(new PeerTable(1));
    private final ApprovalDispatcher mDispatcher = dispatcher(mMembers);

    private MemberRegistry members(PartitionTable table) {
        return new MemberRegistry(
                table, mSettings, (task, delayMillis) -> {}, mClock, millis -> {});
    }

    private ApprovalDispatcher dispatcher(MemberRegistry members) {
        return new ApprovalDispatcher(
                members,
                mApprovals,
                mFixture.scheduler(),
                new DirectExecutor(),
                mClock,
                () -> {},
                new WorkflowMeters(),
                new OwnerLoadMonitor(mClock, new WorkflowMeters()));
    }

    @BeforeEach
    void start() {
        mMembers.start();
    }

    @AfterEach
    void stop() {
        mMembers.stop();
    }

    // Guards against an owner that only walks its backlog of approval requests.
    @Test
    void answerCostsTheSameWithALargeBacklog() {
        mDispatcher.enqueue(requests(BACKLOG, 0, 20));
        mClock.mReads = 0;
        mApprovals.answerFirst();
        assertTrue(mClock.mReads <= MAX_CLOCK_READS, "clock reads: " + mClock.mReads);
    }

    @Test
    void urgentRequestsAreSentFirst() {
        mDispatcher.enqueue(requests(BACKLOG, 1, 20));
        mDispatcher.enqueue(requests(1, 0, 20));
        mApprovals.answerFirst();
        assertEquals(0, mApprovals.last().urgency());
    }

    // Guards against long calls that wait behind a backlog of short ones, or the other way round.
    @Test
    void allRequestsOfBothKindsAreSent() {
        mDispatcher.enqueue(requests(BACKLOG, 0, 20));
        mDispatcher.enqueue(requests(BACKLOG, 1, 1_000));
        assertEquals(2 * BACKLOG, drain(), "requests sent");
    }

    // Guards against a daemon that is never used again after a call that ended with an exception.
    @Test
    void callThatEndsWithAnExceptionFreesItsDaemon() {
        mDispatcher.enqueue(requests(BACKLOG, 0, 20));
        int sent = mApprovals.mSent.size();
        mApprovals.mOpen.remove(0).completeExceptionally(new IllegalStateException("simulated"));
        mClock.mNowMillis += 10_000;
        mDispatcher.dispatch();
        assertEquals(sent + 1, mApprovals.mSent.size());
    }

    // Guards against an owner that takes its own delay for that of all other daemons.
    @Test
    void daemonIsUsedThoughItsPingIsHandledLate() {
        ApprovalDispatcher dispatcher = dispatcher(mMembersWithPeer);
        mMembersWithPeer.start();
        await().until(() -> mMembersWithPeer.all().size() == 2);
        dispatcher.pingMembers();
        mClock.mNowMillis += 1_300;
        mApprovals.mPing.complete(true);
        dispatcher.enqueue(requests(BACKLOG, 0, 20));
        mMembersWithPeer.stop();
        assertEquals(4, mApprovals.mSent.size(), "two calls through each daemon");
    }

    // Guards against an owner that keeps the state of each host that was ever replaced.
    @Test
    void stateOfMembersThatAreGoneIsDropped() {
        MembersTable table = new MembersTable();
        MemberRegistry members = members(table.as("d"));
        members.start();
        ApprovalDispatcher dispatcher = dispatcher(members);
        for (int i = 0; i < 10; i++) {
            String name = "peer" + i;
            table.put(new MemberRow(name, "run", "127.0.0.1:" + (2 + i), 1));
            await().until(() -> members.all().size() == 2);
            dispatcher.pingMembers();
            table.delete(name);
            await().until(() -> members.all().size() == 1);
        }
        dispatcher.pingMembers();
        members.stop();
        assertTrue(dispatcher.memberStateCount() <= 1, "states: " + dispatcher.memberStateCount());
    }

    // Guards against requests that wait longer than their answer would be of use.
    @Test
    void fewRequestsMayWait() {
        assertEquals(new ApprovalDispatcher.RemainingCalls(2, 1), mDispatcher.remainingCalls());
        mDispatcher.enqueue(requests(4, 0, 20));
        mDispatcher.enqueue(requests(1, 0, 1_000));
        assertEquals(new ApprovalDispatcher.RemainingCalls(0, 0), mDispatcher.remainingCalls());
        mApprovals.answerFirst();
        assertEquals(1, mDispatcher.remainingCalls().shortCalls());
    }

    // Load pattern: a new owner has no tickets and asks for those of its whole backlog.
    @Test
    void mostDaemonsOfALargeCellMakeLongCalls() {
        MemberRegistry members = members(new PeerTable(46));
        ApprovalDispatcher dispatcher = dispatcher(members);
        members.start();
        await().until(() -> members.all().size() == 47);
        dispatcher.pingMembers();
        mApprovals.mPing.complete(true);
        dispatcher.enqueue(requests(BACKLOG, 1, 1_000));
        members.stop();
        assertEquals(39, mApprovals.mSent.size());
    }

    // Guards against quick work that waits for the way to another region and back.
    @Test
    void shortCallsGoThroughTheNearestDaemons() {
        MemberRegistry members = members(new PeerTable(2));
        ApprovalDispatcher dispatcher = dispatcher(members);
        members.start();
        await().until(() -> members.all().size() == 3);
        dispatcher.pingMembers();
        mClock.mNowMillis += 2;
        mApprovals.answerPing("peer0");
        mClock.mNowMillis += 78;
        mApprovals.answerPing("peer1");
        dispatcher.enqueue(requests(4, 0, 20));
        assertEquals(List.of("d", "peer0", "d", "peer0"), mApprovals.mVia);
        dispatcher.enqueue(requests(1, 0, 20));
        members.stop();
        assertEquals("peer1", mApprovals.mVia.get(4), "the others are occupied");
    }

    // Load pattern: all hosts have just started, and the slowest ones answer pings late.
    @Test
    void longCallsGoThroughTheNearestDaemonsThatAreNotReserved() {
        MemberRegistry members = members(new PeerTable(2));
        ApprovalDispatcher dispatcher = dispatcher(members);
        members.start();
        await().until(() -> members.all().size() == 3);
        dispatcher.pingMembers();
        mClock.mNowMillis += 2;
        mApprovals.answerPing("peer0");
        mClock.mNowMillis += 78;
        mApprovals.answerPing("peer1");
        dispatcher.enqueue(requests(2, 1, 1_000));
        members.stop();
        assertEquals(List.of("peer0", "peer1"), mApprovals.mVia);
    }

    private int drain() {
        while (mApprovals.hasOpenCall()) {
            mApprovals.answerFirst();
        }
        return mApprovals.mSent.size();
    }

    private static List<ApprovalRequest> requests(int count, int priority, double expectedMillis) {
        List<ApprovalRequest> requests = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            StepKey step = new StepKey("job" + i, 0, 0);
            requests.add(new ApprovalRequest(step, priority, List.of("w"), expectedMillis));
        }
        return requests;
    }

    /** Table that lists other daemons. */
    private static final class PeerTable extends UnansweredTable {
        private final int mPeerCount;

        PeerTable(int peerCount) {
            mPeerCount = peerCount;
        }

        @Override
        public CompletableFuture<Either<TableError, Page>> read(Range range) {
            List<Entry> entries = new ArrayList<>();
            for (int i = 0; i < mPeerCount; i++) {
                MemberRow peer = new MemberRow("peer" + i, "run", "127.0.0.1:" + (2 + i), 1);
                Key key = new Key(range.table(), "", peer.name());
                entries.add(new Entry(key, 1, MessageCodec.encode(peer)));
            }
            return CompletableFuture.completedFuture(Either.right(new Page(entries, false, 1, 0)));
        }
    }

    /** Clock that counts how often it is read. */
    private static final class CountingClock implements MonotonicClock {
        private int mReads;
        private long mNowMillis = SchedulerFixture.NOW_MILLIS;

        @Override
        public long millis() {
            mReads++;
            return mNowMillis;
        }
    }

    /** Approval service whose calls the test answers. */
    private static final class ManualApprovals implements ApprovalDispatcher.ApprovalTransport {
        private final CompletableFuture<Boolean> mPing = new CompletableFuture<>();
        private final Map<String, CompletableFuture<Boolean>> mPings = new HashMap<>();
        private final List<String> mVia = new ArrayList<>();
        private final List<ApprovalRequest> mSent = new ArrayList<>();
        private final List<CompletableFuture<Either<CallError, ApprovalTickets>>> mOpen =
                new ArrayList<>();

        void answerPing(String member) {
            mPings.getOrDefault(member, mPing).complete(true);
        }

        ApprovalRequest last() {
            return mSent.get(mSent.size() - 1);
        }

        boolean hasOpenCall() {
            return !mOpen.isEmpty();
        }

        void answerFirst() {
            mOpen.remove(0).complete(Either.right(new ApprovalTickets(Map.of(), 2_000)));
        }

        @Override
        public CompletableFuture<Either<CallError, ApprovalTickets>> requestApproval(
                MemberRow via, ApprovalRequest request, long timeoutMillis) {
            CompletableFuture<Either<CallError, ApprovalTickets>> answer =
                    new CompletableFuture<>();
            mSent.add(request);
            mVia.add(via.name());
            mOpen.add(answer);
            return answer;
        }

        @Override
        public CompletableFuture<Boolean> ping(MemberRow member, long timeoutMillis) {
            CompletableFuture<Boolean> own = new CompletableFuture<>();
            mPings.put(member.name(), own);
            return CompletableFuture.anyOf(mPing, own).thenApply(answered -> (Boolean) answered);
        }
    }
}
