package org.hyssoprouter.daemon.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.internal.journal.Recovery;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.InMemoryStore;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.PeerTransport;

/**
 * Simulates two or three daemons of one region and two shards under random faults: kills, restarts,
 * freezes, planned stops, table outages for all daemons or for one, slow table calls, lost replies,
 * late commits and broken peer links.
 *
 * <p>Checks that no two daemons have a confirmed ownership of a shard at the same time, that a
 * recovered history has each acknowledged event once and in order and no rejected event, and that
 * each shard has a confirmed owner some time after the faults have ended.
 */
final class SimulatedCell {
    private static final int MIN_DAEMONS = 2;
    private static final List<String> SHARDS = List.of("d1", "d2");
    private static final long FAULT_MILLIS = 60_000;
    private static final long FAULT_FREE_MILLIS = 40_000;

    private final Random mRandom;
    private final InMemoryStore mTable = new InMemoryStore();
    private final SimulatedTime mTime = new SimulatedTime(this::checkAtMostOneConfirmedOwner);
    private final SerialExecutor mFaultThread = mTime.newThread(() -> true);
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    // Events are named by shard, epoch and number, so that names sort in the order of the events.
    private final Set<String> mAcknowledged = new TreeSet<>();
    private final Set<String> mRejected = new TreeSet<>();
    private int mIncarnationCount;
    private boolean mFaultsEnded;

    SimulatedCell(long seed) {
        mRandom = new Random(seed);
    }

    void run() {
        int daemons = MIN_DAEMONS + mRandom.nextInt(2);
        for (int i = 0; i < daemons; i++) {
            mDaemons.add(new SimulatedDaemon("n" + i));
        }
        mFaultThread.scheduleWithFixedDelay(this::injectFault, 700);
        mTime.runUntil(FAULT_MILLIS);
        mFaultsEnded = true;
        mTable.setUnavailable(false);
        mTable.applyLateTransactions();
        mDaemons.forEach(SimulatedDaemon::clearFaults);
        mTime.runUntil(mTime.millis() + FAULT_FREE_MILLIS);
        for (String shard : SHARDS) {
            long owners =
                    mDaemons.stream().filter(daemon -> daemon.isConfirmedOwner(shard)).count();
            assertEquals(
                    1,
                    owners,
                    () -> "confirmed owners of " + shard + " at the end: " + describeRows());
            checkHistory(shard, recover(shard));
        }
    }

    private List<ShardEvent> recover(String shard) {
        ShardRow row =
                CellView.of(mTable.scan("cell/").get())
                        .shard(shard)
                        .getOrElseThrow(AssertionError::new);
        return new Recovery(mTable, mTable)
                .read(shard, row.snapshot(), row.snapshotSequence())
                .get()
                .events();
    }

    private String describeRows() {
        CellView view = CellView.of(mTable.scan("cell/").get());
        return view.shards() + " " + view.daemons();
    }

    private void injectFault() {
        if (mFaultsEnded) {
            return;
        }
        SimulatedDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        switch (mRandom.nextInt(16)) {
            case 0 -> daemon.restart();
            case 1 -> daemon.beginPlannedStop();
            case 2, 3 -> daemon.freeze(mRandom.nextInt(9000));
            case 4 -> mTable.setUnavailable(true);
            case 5, 6 -> mTable.setUnavailable(false);
            case 7 -> partitionOneAndSlowOthers(daemon);
            case 8 -> daemon.mTableUnreachable = true;
            case 9, 10 -> daemon.mTableUnreachable = false;
            case 11 -> daemon.mPeerLinkBroken = true;
            case 12 -> daemon.mPeerLinkBroken = false;
            case 13 -> mTable.applyLateTransactions();
            default -> daemon.mTableSlow = !daemon.mTableSlow;
        }
    }

    // The reads of the other daemons are then sometimes late, but none of them fails.
    private void partitionOneAndSlowOthers(SimulatedDaemon daemon) {
        mDaemons.forEach(other -> other.mTableSlow = true);
        daemon.mTableSlow = false;
        daemon.mTableUnreachable = true;
    }

    private void checkAtMostOneConfirmedOwner() {
        for (String shard : SHARDS) {
            List<String> confirmed = new ArrayList<>();
            mDaemons.forEach(daemon -> daemon.addConfirmedHoldings(shard, confirmed));
            assertTrue(
                    confirmed.size() <= 1,
                    () -> confirmed + " have a confirmed ownership of " + shard);
        }
    }

    private void checkHistory(String shard, List<ShardEvent> history) {
        List<String> names =
                history.stream().map(event -> ((ShardEvent.JobCancelled) event).job()).toList();
        assertEquals(
                names.stream().sorted().distinct().toList(),
                names,
                "events are ordered and not repeated");
        Set<String> lost = new TreeSet<>(mAcknowledged);
        lost.removeIf(name -> !name.startsWith(shard) || names.contains(name));
        assertEquals(Set.of(), lost, "acknowledged events that are lost");
        Set<String> found = new TreeSet<>(names);
        found.retainAll(mRejected);
        assertEquals(Set.of(), found, "rejected events that are in the history");
    }

    /** One daemon, which runs at most one incarnation at a time. */
    private final class SimulatedDaemon {
        private final String mName;
        private final List<OwnershipService> mIncarnations = new ArrayList<>();
        private long mFrozenUntilMillis;
        private boolean mTableUnreachable;
        private boolean mPeerLinkBroken;
        private boolean mTableSlow;
        private BooleanSupplier mCanRun = () -> true;

        SimulatedDaemon(String name) {
            mName = name;
            start();
        }

        private void start() {
            String incarnation = "i" + mIncarnationCount++;
            boolean[] isAlive = {true};
            mCanRun = () -> isAlive[0] && mTime.millis() >= mFrozenUntilMillis;
            SimulatedTable table =
                    new SimulatedTable(
                            mTable,
                            mRandom,
                            mTime,
                            () -> mTableUnreachable,
                            () -> mTableSlow,
                            () -> mFrozenUntilMillis,
                            () -> mFaultsEnded);
            DaemonRow self =
                    new DaemonRow(mName, incarnation, "south", "x", mName, mName, 0, false);
            OwnershipService process =
                    new OwnershipService(
                            OwnershipSettings.defaults(),
                            self,
                            table,
                            table,
                            new HostListView(() -> Either.right(hosts())),
                            new Peers(),
                            SimulatedShard::new,
                            ReachabilityProbe.ALWAYS_UNREACHABLE,
                            mTime::millis,
                            mTime.threads(mCanRun));
            mIncarnations.add(process);
            process.start();
        }

        void restart() {
            mTime.remove(mCanRun);
            mIncarnations.clear();
            mCanRun = () -> false;
            mFrozenUntilMillis = 0;
            mFaultThread.schedule(this::startIfDown, mRandom.nextInt(12_000));
        }

        private void startIfDown() {
            if (mIncarnations.isEmpty()) {
                start();
            }
        }

        void beginPlannedStop() {
            if (mCanRun.getAsBoolean()) {
                CompletableFuture<?> unused = mIncarnations.get(0).handOver();
                mFaultThread.schedule(this::restart, 3000);
            }
        }

        void freeze(long millis) {
            mFrozenUntilMillis = mTime.millis() + millis;
        }

        void clearFaults() {
            mFrozenUntilMillis = 0;
            mTableUnreachable = false;
            mPeerLinkBroken = false;
            mTableSlow = false;
            mFaultThread.schedule(this::startIfDown, 0);
        }

        boolean isConfirmedOwner(String shard) {
            List<String> confirmed = new ArrayList<>();
            addConfirmedHoldings(shard, confirmed);
            return !confirmed.isEmpty() && mIncarnations.get(0).ownedShard(shard).isDefined();
        }

        void addConfirmedHoldings(String shard, List<String> confirmed) {
            for (OwnershipService process : mIncarnations) {
                for (ShardHolding holding : process.shardManager().holdings()) {
                    if (holding.row().shard().equals(shard)
                            && holding.confirmation().isConfirmed()) {
                        confirmed.add(mName + " epoch " + holding.row().epoch());
                    }
                }
            }
        }

        CompletableFuture<byte[]> receive(int type, byte[] payload) {
            if (mIncarnations.isEmpty() || mPeerLinkBroken) {
                return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
            }
            CompletableFuture<byte[]> answer = new CompletableFuture<>();
            long frozenMillis = Math.max(0, mFrozenUntilMillis - mTime.millis());
            mFaultThread.schedule(
                    () -> dispatch(type, payload, answer), frozenMillis + mRandom.nextInt(30));
            return answer;
        }

        private void dispatch(int type, byte[] payload, CompletableFuture<byte[]> answer) {
            if (mIncarnations.isEmpty() || !mCanRun.getAsBoolean()) {
                answer.completeExceptionally(new IllegalStateException("no answer"));
                return;
            }
            OwnershipService process = mIncarnations.get(0);
            boolean isHandover = type == PeerCallType.HANDOVER.number();
            byte[] reply =
                    (isHandover ? process.onHandover(payload) : process.onTableStatus(payload))
                            .join();
            mFaultThread.schedule(() -> answer.complete(reply), mRandom.nextInt(30));
        }

        private final class Peers implements PeerTransport {
            @Override
            public CompletableFuture<Either<CallError, byte[]>> call(
                    String address,
                    int type,
                    TrafficClass trafficClass,
                    byte[] payload,
                    long timeoutMillis) {
                SimulatedDaemon peer =
                        mDaemons.stream().filter(d -> d.mName.equals(address)).findFirst().get();
                CallError error = CallError.notRun(CallError.Kind.UNREACHABLE, address);
                if (mPeerLinkBroken) {
                    return CompletableFuture.completedFuture(Either.left(error));
                }
                return peer.receive(type, payload)
                        .<Either<CallError, byte[]>>thenApply(Either::right)
                        .exceptionally(failure -> Either.left(error));
            }
        }

        private final class SimulatedShard implements OwnedShard {
            private final ShardContext mContext;
            private final List<ShardEvent> mHistory;
            private final SerialExecutor mThread = mTime.newThread(mCanRun);
            private boolean mStopped;
            private int mAppendCount;
            private int mPendingAppends;
            private final CompletableFuture<Boolean> mQuiesceFuture = new CompletableFuture<>();

            SimulatedShard(ShardContext context, List<ShardEvent> history) {
                mContext = context;
                mHistory = new ArrayList<>(history);
            }

            @Override
            public ShardContext context() {
                return mContext;
            }

            @Override
            public List<ShardEvent> snapshotEvents() {
                return List.copyOf(mHistory);
            }

            @Override
            public CompletableFuture<Boolean> quiesce() {
                mStopped = true;
                completeQuiesceIfIdle();
                return mQuiesceFuture;
            }

            private void completeQuiesceIfIdle() {
                if (mStopped && mPendingAppends == 0) {
                    mQuiesceFuture.complete(true);
                }
            }

            @Override
            public void start() {
                checkHistory(mContext.shard(), mHistory);
                mThread.execute(this::append);
            }

            private void append() {
                if (mStopped) {
                    return;
                }
                String shard = mContext.shard();
                String name =
                        String.format("%s/%06d/%06d", shard, mContext.epoch(), mAppendCount++);
                long withinMillis = mRandom.nextBoolean() ? 0 : mRandom.nextInt(2000);
                ShardEvent event = new ShardEvent.JobCancelled(name);
                mPendingAppends++;
                CompletableFuture<?> unused =
                        mContext.log()
                                .append(List.of(event), withinMillis)
                                .thenAccept(result -> handleOutcome(event, name, result.isRight()));
                mThread.schedule(this::append, 50 + mRandom.nextInt(400));
            }

            private void handleOutcome(ShardEvent event, String name, boolean isDurable) {
                (isDurable ? mAcknowledged : mRejected).add(name);
                if (isDurable) {
                    mHistory.add(event);
                }
                mPendingAppends--;
                completeQuiesceIfIdle();
            }

            @Override
            public void stop() {
                mStopped = true;
            }
        }
    }

    private static List<HostInfo> hosts() {
        return SHARDS.stream()
                .map(
                        shard ->
                                new HostInfo(
                                        shard,
                                        "south",
                                        shard,
                                        "r",
                                        shard,
                                        HostState.LIVE,
                                        Room.NONE,
                                        List.of()))
                .toList();
    }
}
