package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An owner with ten peers, whose pings are answered or not, in virtual time. */
class AbsentMemberRemoverTest {
    private static final int PEERS = 10;
    private static final long PING_TIMEOUT_MILLIS = 1_200;

    private final MembersTable mTable = new MembersTable();
    private final MemberRegistry mMembers =
            new MemberRegistry(
                    mTable.as("owner"),
                    new WorkflowSettings(
                            "owner",
                            "run",
                            "127.0.0.1:1",
                            new SchedulerLimits(6_000, 900, 2_500),
                            1_500,
                            1),
                    (task, delayMillis) -> {},
                    MonotonicClock.system(),
                    millis -> {});
    private final AbsentMemberRemover mRemover =
            new AbsentMemberRemover(mMembers, new DirectExecutor());
    private final Set<String> mSilent = new HashSet<>();
    private long mNowMillis;

    @BeforeEach
    void start() {
        mMembers.start();
        for (int i = 0; i < PEERS; i++) {
            mTable.put(peer(i, "run"));
        }
        awaitListed(PEERS + 1);
    }

    @AfterEach
    void stop() {
        mMembers.stop();
    }

    private static MemberRow peer(int number, String incarnation) {
        return new MemberRow("peer" + number, incarnation, "127.0.0.1:" + (10 + number), 1);
    }

    private void awaitListed(int count) {
        await().until(() -> mMembers.all().size() == count);
    }

    private void ping(long millis) {
        for (long end = mNowMillis + millis; mNowMillis < end; ) {
            long sentMillis = mNowMillis;
            mNowMillis += PING_TIMEOUT_MILLIS;
            for (MemberRow member : mMembers.all()) {
                if (!member.equals(mMembers.self())) {
                    mRemover.recordPing(member, !mSilent.contains(member.name()), sentMillis);
                }
            }
            mRemover.removeAbsent(mNowMillis);
        }
    }

    // Guards against hosts that stay listed after they have lost power.
    @Test
    void membersThatGoOneByOneAreRemoved() {
        for (int i = 0; i < PEERS; i++) {
            mSilent.add("peer" + i);
            ping(2 * AbsentMemberRemover.ABSENT_MILLIS);
            awaitListed(PEERS - i);
        }
        assertEquals(List.of("owner"), mTable.names());
    }

    @Test
    void membersThatGoAtOnceAreRemovedAndComeBack() {
        int transactions = mTable.transactions();
        for (int i = 0; i < PEERS; i++) {
            mSilent.add("peer" + i);
        }
        ping(2 * AbsentMemberRemover.ABSENT_MILLIS);
        awaitListed(1);
        assertEquals(PEERS, mTable.transactions() - transactions, "one for each member");
        mTable.put(peer(3, "next"));
        mSilent.remove("peer3");
        awaitListed(2);
        ping(4 * AbsentMemberRemover.ABSENT_MILLIS);
        assertEquals(List.of("owner", "peer3"), mTable.names());
    }

    // Guards against a removal after a freeze or a cut of 9 s.
    @Test
    void memberThatAnswersAgainIsNotRemoved() {
        int transactions = mTable.transactions();
        for (int i = 0; i < 5; i++) {
            mSilent.add("peer4");
            ping(9_000);
            mSilent.clear();
            ping(3_000);
        }
        assertEquals(transactions, mTable.transactions());
    }

    // Guards against an owner that has been frozen and takes all others for gone.
    @Test
    void ownerThatWasFrozenRemovesNobody() {
        int transactions = mTable.transactions();
        long sentMillis = mNowMillis;
        mNowMillis += 60_000;
        mMembers.all().forEach(it -> mRemover.recordPing(it, false, sentMillis));
        mRemover.removeAbsent(mNowMillis);
        ping(3_000);
        assertEquals(transactions, mTable.transactions());
    }

    // Guards against an owner, cut off from a member that lives, that writes without end.
    @Test
    void memberThatRegistersAgainGetsMoreTime() {
        int transactions = mTable.transactions();
        mSilent.add("peer5");
        int removals = 0;
        for (int second = 0; second < 300; second++) {
            ping(1_000);
            if (!mTable.names().contains("peer5")) {
                awaitListed(PEERS);
                mTable.put(peer(5, "run"));
                awaitListed(PEERS + 1);
                removals++;
            }
        }
        assertEquals(5, removals);
        assertEquals(2 * removals, mTable.transactions() - transactions);
    }

    @Test
    void memberWhoseAddressAnotherOneHasIsRemoved() {
        mTable.put(new MemberRow("new", "run", peer(7, "").address(), 1));
        await().until(() -> mMembers.replaced().size() == 1);
        mRemover.removeAbsent(mNowMillis);
        awaitListed(PEERS + 1);
        assertFalse(mTable.names().contains("peer7"), "row of the former member");
    }

    // Guards against a cost at the store that grows faster than the hosts that come and go.
    @Test
    void costAtTheStoreIsLinearInTheHostsThatAreGone() {
        for (int count : List.of(20, 40, 80, 160)) {
            for (int i = 0; i < count; i++) {
                mTable.put(new MemberRow(count + "-" + i, "run", count + "." + i, 1));
            }
            awaitListed(1 + PEERS + count);
            int calls = mTable.calls();
            ping(3 * AbsentMemberRemover.ABSENT_MILLIS);
            int quietCalls = mTable.calls() - calls;
            for (int i = 0; i < count; i++) {
                mSilent.add(count + "-" + i);
            }
            int transactions = mTable.transactions();
            while (mMembers.all().size() > 1 + PEERS) {
                ping(2 * AbsentMemberRemover.ABSENT_MILLIS);
            }
            transactions = mTable.transactions() - transactions;
            System.out.println(
                    count
                            + " hosts: "
                            + quietCalls
                            + " calls while all live, then "
                            + transactions);
            assertTrue(quietCalls <= 1, "calls while all live: " + quietCalls);
            assertEquals(count, transactions, "one for each host");
        }
    }
}
