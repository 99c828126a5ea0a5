package org.hyssoprouter.daemon.placement;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TaskId;
import org.hyssoprouter.lib.TaskState;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.TaskReport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ShardSchedulerTest {
    private static final Room CORE = new Room(1_000, 1 << 20, 0);
    private static final TaskId TASK = new TaskId("j", 0);

    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(1);
    private final FakeWorkers mWorkers = new FakeWorkers();
    private final List<ShardEvent> mJournal = new ArrayList<>();
    private final List<HostInfo> mHosts = new ArrayList<>();
    private long mRevision = 1;
    private boolean mOwnershipConfirmed = true;
    private boolean mTableUnavailable;

    @AfterEach
    void stopTimer() {
        mTimer.shutdownNow();
    }

    @Test
    void startsJobOnlyAfterAcceptanceIsDurable() throws Exception {
        ShardScheduler scheduler = open(1);
        mTableUnavailable = true;
        Either<Refusal, JobView> refused = scheduler.submit(job(1, CORE)).get();
        assertEquals(RefusalCode.TABLE_UNAVAILABLE, refused.getLeft().code());
        advanceTicks(scheduler, 5);
        assertEquals(0, mWorkers.runningCount(TASK));
        mTableUnavailable = false;
        assertTrue(scheduler.submit(job(1, CORE)).get().isRight());
        assertTrue(scheduler.submit(job(1, CORE)).get().isRight());
        Refusal conflict = scheduler.submit(job(2, CORE)).get().getLeft();
        assertEquals(RefusalCode.CONFLICT, conflict.code());
        awaitState(scheduler, TaskState.RUNNING);
    }

    @Test
    void refusesJobThatCannotRun() throws Exception {
        ShardScheduler scheduler = open(1);
        Room huge = new Room(5_000, 1, 0);
        assertEquals(RefusalCode.CANNOT_RUN, scheduler.submit(job(1, huge)).get().getLeft().code());
        Refusal bad = scheduler.submit(job(0, CORE)).get().getLeft();
        assertEquals("taskCount", bad.field());
        assertTrue(mJournal.isEmpty());
    }

    @Test
    void tasksOfUnresponsiveWorkerMoveOnlyAfterLeaseExpiry() throws Exception {
        ShardScheduler scheduler = open(1);
        scheduler.submit(job(1, CORE)).get();
        awaitState(scheduler, TaskState.RUNNING);
        String first = workerOf(scheduler);
        mWorkers.worker(first).mUnresponsive = true;
        long leaseEndMillis = mWorkers.worker(first).mLeaseUntilMillis;
        while (workerOf(scheduler).equals(first)) {
            assertTrue(mWorkers.runningCount(TASK) <= 1);
            advanceTicks(scheduler, 1);
        }
        awaitState(scheduler, TaskState.RUNNING);
        assertTrue(mWorkers.mNowMillis >= leaseEndMillis);
        assertEquals(1, mWorkers.runningCount(TASK));
    }

    @Test
    void takeoverPlacesNothingBeforeInventoryIsComplete() throws Exception {
        ShardScheduler before = open(1);
        before.submit(job(1, CORE)).get();
        awaitState(before, TaskState.RUNNING);
        String worker = workerOf(before);
        // The placement is not in the journal, and its worker does not answer the new owner yet.
        mJournal.removeIf(event -> event instanceof ShardEvent.TaskPlaced);
        mWorkers.worker(worker).mUnresponsive = true;
        ShardScheduler after = open(2);
        advanceTicks(after, 20);
        assertFalse(after.isInventoryComplete());
        assertEquals(1, mWorkers.runningCount(TASK));
        mWorkers.worker(worker).mUnresponsive = false;
        advanceTicks(after, 10);
        assertTrue(after.isInventoryComplete() && workerOf(after).equals(worker));
        assertEquals(1, mWorkers.runningCount(TASK));
        assertEquals(mJournal.size(), after.snapshotEvents().size());
    }

    @Test
    void startWithLostReplyIsResolvedByWorkerInventory() throws Exception {
        ShardScheduler scheduler = open(1);
        mWorkers.worker("w0").mLosingStartReplies = true;
        mWorkers.worker("w1").mLosingStartReplies = true;
        scheduler.submit(job(1, CORE)).get();
        awaitState(scheduler, TaskState.RUNNING);
        assertEquals(1, scheduler.view("j").get().tasks().get(0).attempt());
    }

    @Test
    void tasksOfLeavingWorkerStopBeforeTheyMove() throws Exception {
        ShardScheduler scheduler = open(1);
        scheduler.submit(job(1, CORE)).get();
        awaitState(scheduler, TaskState.RUNNING);
        String first = workerOf(scheduler);
        mHosts.replaceAll(h -> h.worker().equals(first) ? host(first, HostState.LEAVING) : h);
        mRevision++;
        await().until(
                        () -> {
                            advanceTicks(scheduler, 1);
                            return !workerOf(scheduler).equals(first);
                        });
        awaitState(scheduler, TaskState.RUNNING);
        assertEquals(1, mWorkers.runningCount(TASK));
    }

    @Test
    void cancelStopsRunningTasksAndEndsJob() throws Exception {
        ShardScheduler scheduler = open(1);
        scheduler.submit(job(3, CORE)).get();
        awaitState(scheduler, TaskState.RUNNING);
        assertTrue(scheduler.cancel("j").get().isRight());
        await().until(
                        () -> {
                            advanceTicks(scheduler, 1);
                            return scheduler.view("j").get().state() == JobState.CANCELLED;
                        });
        assertEquals(0, mWorkers.runningCount(TASK));
        assertTrue(scheduler.quiesce().get());
    }

    @Test
    void failedBatchTaskIsRetriedThenFailsJob() throws Exception {
        ShardScheduler scheduler = open(1);
        scheduler.submit(job(1, CORE)).get();
        for (int attempt = 1; attempt <= 2; attempt++) {
            awaitState(scheduler, TaskState.RUNNING);
            mWorkers.setReport(workerOf(scheduler), TASK, attempt, TaskReport.State.FAILED);
            advanceTicks(scheduler, 6);
        }
        assertEquals(JobState.FAILED, scheduler.view("j").get().state());
    }

    @Test
    void nothingIsSentWhileOwnershipIsUnconfirmed() throws Exception {
        ShardScheduler scheduler = open(1);
        mOwnershipConfirmed = false;
        scheduler.submit(job(1, CORE)).get();
        advanceTicks(scheduler, 5);
        assertEquals(0, mWorkers.runningCount(TASK));
        mOwnershipConfirmed = true;
        awaitState(scheduler, TaskState.RUNNING);
    }

    private ShardScheduler open(long epoch) {
        if (mHosts.isEmpty()) {
            mHosts.add(host("w0", HostState.LIVE));
            mHosts.add(host("w1", HostState.LIVE));
        }
        ShardContext context =
                new ShardContext("s", "south", epoch, this::append, () -> mOwnershipConfirmed);
        ShardScheduler scheduler =
                new ShardScheduler(
                        context,
                        List.copyOf(mJournal),
                        mWorkers,
                        hostDirectory(),
                        () -> Option.some(config()),
                        Clock.systemUTC(),
                        () -> mWorkers.mNowMillis,
                        mTimer);
        mRevision++;
        advanceTicks(scheduler, 3);
        return scheduler;
    }

    private CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        if (mTableUnavailable) {
            return CompletableFuture.completedFuture(Either.left(TableError.unavailable("out")));
        }
        mJournal.addAll(events);
        return CompletableFuture.completedFuture(Either.right(true));
    }

    private void advanceTicks(ShardScheduler scheduler, int count) {
        for (int i = 0; i < count; i++) {
            mWorkers.advance(200);
            scheduler.tick();
        }
    }

    private void awaitState(ShardScheduler scheduler, TaskState state) {
        await().until(
                        () -> {
                            advanceTicks(scheduler, 1);
                            return scheduler.view("j").get().tasks().get(0).state() == state;
                        });
    }

    private static String workerOf(ShardScheduler scheduler) {
        return scheduler.view("j").get().tasks().get(0).worker();
    }

    private static JobSpec job(int tasks, Room room) {
        return new JobSpec(
                "j", "c", WorkKind.BATCH, TrafficClass.NORMAL, tasks, room, 0, 2, null, "");
    }

    private static HostInfo host(String name, HostState state) {
        return new HostInfo(
                name, "south", "s", "r", name, state, new Room(4_000, 1 << 30, 0), List.of());
    }

    private HostDirectory hostDirectory() {
        return new HostDirectory() {
            @Override
            public List<HostInfo> hostsOf(String shard) {
                return List.copyOf(mHosts);
            }

            @Override
            public List<HostInfo> hosts() {
                return List.copyOf(mHosts);
            }

            @Override
            public long revision() {
                return mRevision;
            }
        };
    }

    private static EffectiveConfig config() {
        Room quota = new Room(1L << 40, 1L << 50, 100);
        CustomerPolicy policy =
                new CustomerPolicy("c", "south", 1, quota, 10, 10, 50, 10, 1_000, 1_000);
        return new EffectiveConfig() {
            @Override
            public long version() {
                return 1;
            }

            @Override
            public Option<CustomerPolicy> policyOf(String name) {
                return name.equals("c") ? Option.some(policy) : Option.none();
            }

            @Override
            public List<String> customerNames() {
                return List.of("c");
            }
        };
    }
}
