package org.hyssoprouter.daemon.workflow;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hyssoprouter.internal.workflow.SchedulerLimits;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class MemberRegistryTest {
    private final AtomicBoolean mAnswering = new AtomicBoolean();
    private final WorkflowSettings mSettings =
            new WorkflowSettings(
                    "d", "run", "127.0.0.1:1", new SchedulerLimits(6_000, 900, 2_500), 1_500, 0.36);
    private final MemberRegistry mRegistry =
            new MemberRegistry(
                    new PagedTable(range -> mAnswering.get()).with("", 0),
                    mSettings,
                    (task, delayMillis) -> {},
                    MonotonicClock.system(),
                    millis -> {});

    @AfterEach
    void stop() {
        mRegistry.stop();
    }

    // Guards against a weak host that becomes owner because it does not know the others yet.
    @Test
    void daemonIsNotTheStrongestBeforeItKnowsTheOthers() {
        mRegistry.start();
        assertTrue(mRegistry.maxCores() > mSettings.cores(), "cores before the first read");
        mAnswering.set(true);
        await().until(() -> mRegistry.maxCores() <= mSettings.cores());
        assertEquals(mSettings.cores(), mRegistry.maxCores());
    }

    private final MembersTable mTable = new MembersTable();
    private final List<MemberRegistry> mStarted = new ArrayList<>();

    private static MemberRow row(String name, String incarnation, int port) {
        return new MemberRow(name, incarnation, "127.0.0.1:" + port, 1);
    }

    private MemberRegistry start(String name, String incarnation, int port) {
        MemberRegistry registry =
                new MemberRegistry(
                        mTable.as(name),
                        new WorkflowSettings(
                                name,
                                incarnation,
                                "127.0.0.1:" + port,
                                new SchedulerLimits(6_000, 900, 2_500),
                                1_500,
                                1),
                        (task, delayMillis) -> task.run(),
                        MonotonicClock.system(),
                        millis -> {});
        registry.start();
        mStarted.add(registry);
        return registry;
    }

    @AfterEach
    void stopAll() {
        mStarted.forEach(MemberRegistry::stop);
    }

    private static List<String> names(MemberRegistry registry) {
        return registry.all().stream().map(MemberRow::name).toList();
    }

    private static void awaitNames(MemberRegistry registry, String... names) {
        await().until(() -> names(registry).equals(List.of(names)));
    }

    // Guards against hosts that stay listed after a planned stop (review case 5).
    @Test
    void daemonThatLeavesIsNoLongerListed() {
        MemberRegistry stays = start("a", "a1", 1);
        for (int i = 0; i < 10; i++) {
            MemberRegistry leaves = start("b" + i, "run", 10 + i);
            awaitNames(stays, "a", "b" + i);
            leaves.leave();
            awaitNames(stays, "a");
        }
        assertEquals(List.of("a"), mTable.names());
        assertEquals(21, mTable.transactions(), "one to register and one to leave for each");
    }

    // Guards against a late removal that meets the row of the next incarnation.
    @Test
    void removalOfAnEarlierIncarnationLeavesTheNextOne() {
        MemberRegistry judge = start("a", "a1", 1);
        MemberRegistry first = start("b", "b1", 2);
        awaitNames(judge, "a", "b");
        MemberRow former = judge.all().get(1);
        await().until(first::isSynced);
        mTable.silence("b");
        mTable.put(row("b", "b2", 2));
        mTable.restore("b");
        await().until(() -> judge.all().get(1).incarnation().equals("b2"));
        assertFalse(judge.remove(former, "test").join(), "row of another incarnation");
        first.leave();
        assertTrue(mTable.names().contains("b"), "row of the next incarnation");
    }

    // Guards against a registration that takes effect late and outlives its daemon.
    @Test
    void lateRegistrationIsRemovedByTheDaemonThatLeaves() {
        MemberRegistry stays = start("a", "a1", 1);
        MemberRegistry leaves = start("b", "b1", 2);
        awaitNames(stays, "a", "b");
        await().until(leaves::isSynced);
        mTable.put(row("b", "b1", 2));
        leaves.leave();
        awaitNames(stays, "a");
        mTable.put(row("b", "b1", 2));
        await().until(() -> mTable.names().equals(List.of("a")));
    }

    // Guards against a daemon that lives and is never listed again.
    @Test
    void daemonThatLivesRegistersAgainAfterItsRemoval() {
        MemberRegistry judge = start("a", "a1", 1);
        MemberRegistry judged = start("b", "b1", 2);
        awaitNames(judge, "a", "b");
        await().until(judged::isSynced);
        assertTrue(judge.remove(judge.all().get(1), "test").join(), "removed");
        await().until(() -> mTable.transactions() == 4);
        awaitNames(judge, "a", "b");
    }

    // Guards against a daemon that does not learn of its removal because its poll is lost.
    @Test
    void daemonThatWasCutOffRegistersAgainOnceTheStoreAnswers() {
        MemberRegistry judge = start("a", "a1", 1);
        MemberRegistry judged = start("b", "b1", 2);
        awaitNames(judge, "a", "b");
        await().until(judged::isSynced);
        judged.recordStoreAnswer(1_000);
        mTable.silence("b");
        assertTrue(judge.remove(judge.all().get(1), "test").join(), "removed");
        awaitNames(judge, "a");
        mTable.restore("b");
        // The poll that was open during the cut stays without an answer.
        judged.recordStoreAnswer(11_000);
        awaitNames(judge, "a", "b");
    }

    // Guards against rows that were deleted while the store dropped its history.
    @Test
    void removalsThatTheHistoryLacksAreNoticed() {
        MemberRegistry reader = start("a", "a1", 1);
        mTable.put(row("b", "b1", 2));
        mTable.put(row("c", "c1", 3));
        awaitNames(reader, "a", "b", "c");
        mTable.silence("a");
        mTable.delete("b");
        mTable.delete("a");
        mTable.compact();
        mTable.restore("a");
        reader.recordStoreAnswer(1_000);
        reader.recordStoreAnswer(11_000);
        awaitNames(reader, "a", "c");
        await().until(() -> mTable.names().equals(List.of("a", "c")));
    }

    // Guards against calls to a host whose address another one has.
    @Test
    void newestOfSeveralMembersAtOneAddressIsListed() {
        MemberRegistry reader = start("a", "a1", 1);
        mTable.put(row("z", "z1", 2));
        mTable.put(row("b", "b1", 2));
        mTable.put(row("c", "c1", 1));
        await().until(() -> reader.replaced().size() == 2);
        assertEquals(List.of("a", "b"), names(reader));
        assertEquals(List.of("c", "z"), reader.replaced().stream().map(MemberRow::name).toList());
    }

    // Guards against daemons that all take themselves for weak after the strongest is gone.
    @Test
    void strongestDaemonThatIsGoneNoLongerCounts() {
        MemberRegistry reader = start("a", "a1", 1);
        mTable.put(new MemberRow("b", "b1", "127.0.0.1:2", 4));
        await().until(() -> reader.maxCores() == 4);
        assertTrue(reader.remove(reader.all().get(1), "test").join(), "removed");
        await().until(() -> reader.maxCores() == 1);
        assertEquals(List.of(), reader.strongPeers(0.6));
    }
}
