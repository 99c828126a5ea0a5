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
 * A few daemons of one region and two shards on simulated time: kills, restarts, freezes, planned
 * stops, outages for all or for one daemon, lost replies, late effects, broken peer links. At no
 * instant may two daemons act for a shard; a recovered history holds each acknowledged event once
 * and in order, and none that was refused; without faults each shard gets an owner that may act.
 */
final class SimulatedCell {
    private static final int MIN_DAEMONS = 2;
    private static final List<String> SHARDS = List.of("d1", "d2");
    private static final long FAULTY_MILLIS = 60_000;
    private static final long FAULT_FREE_MILLIS = 40_000;

    private final Random mRandom;
    private final InMemoryStore mTable = new InMemoryStore();
    private final SimulatedTime mTime = new SimulatedTime(this::checkOneMayAct);
    private final SerialExecutor mFaultThread = mTime.newThread(() -> true);
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    // Events are named by shard, epoch and number, so that names sort in the order of the events.
    private final Set<String> mAcknowledged = new TreeSet<>();
    private final Set<String> mRefused = new TreeSet<>();
    private int mIncarnations;
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
        mTime.runUntil(FAULTY_MILLIS);
        mFaultsEnded = true;
        mTable.setUnavailable(false);
        mTable.applyLateTransactions();
        mDaemons.forEach(SimulatedDaemon::clearFaults);
        mTime.runUntil(mTime.millis() + FAULT_FREE_MILLIS);
        for (String shard : SHARDS) {
            long owners = mDaemons.stream().filter(daemon -> daemon.isActing(shard)).count();
            assertEquals(1, owners, () -> "owners of " + shard + " at the end: " + describe());
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

    private String describe() {
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
            case 7 -> cutOffOneAndSlowTheOthers(daemon);
            case 8 -> daemon.mCutOff = true;
            case 9, 10 -> daemon.mCutOff = false;
            case 11 -> daemon.mLinkBroken = true;
            case 12 -> daemon.mLinkBroken = false;
            case 13 -> mTable.applyLateTransactions();
            default -> daemon.mSlow = !daemon.mSlow;
        }
    }

    // The others' reads are then old at times, yet none of them fails.
    private void cutOffOneAndSlowTheOthers(SimulatedDaemon daemon) {
        mDaemons.forEach(other -> other.mSlow = true);
        daemon.mSlow = false;
        daemon.mCutOff = true;
    }

    private void checkOneMayAct() {
        for (String shard : SHARDS) {
            List<String> acting = new ArrayList<>();
            mDaemons.forEach(daemon -> daemon.addActing(shard, acting));
            assertTrue(acting.size() <= 1, () -> acting + " may act for " + shard);
        }
    }

    private void checkHistory(String shard, List<ShardEvent> history) {
        List<String> names =
                history.stream().map(event -> ((ShardEvent.JobCancelled) event).job()).toList();
        assertEquals(names.stream().sorted().distinct().toList(), names, "order and repeats");
        Set<String> lost = new TreeSet<>(mAcknowledged);
        lost.removeIf(name -> !name.startsWith(shard) || names.contains(name));
        assertEquals(Set.of(), lost, "acknowledged, then lost");
        Set<String> back = new TreeSet<>(names);
        back.retainAll(mRefused);
        assertEquals(Set.of(), back, "refused, then found");
    }

    /** One daemon through all of its incarnations, one at a time. */
    private final class SimulatedDaemon {
        private final String mName;
        private final List<OwnershipService> mProcesses = new ArrayList<>();
        private long mFrozenUntilMillis;
        private boolean mCutOff;
        private boolean mLinkBroken;
        private boolean mSlow;
        private BooleanSupplier mCanRun = () -> true;

        SimulatedDaemon(String name) {
            mName = name;
            start();
        }

        private void start() {
            String incarnation = "i" + mIncarnations++;
            boolean[] isAlive = {true};
            mCanRun = () -> isAlive[0] && mTime.millis() >= mFrozenUntilMillis;
            SimulatedTable table =
                    new SimulatedTable(
                            mTable,
                            mRandom,
                            mTime,
                            () -> mCutOff,
                            () -> mSlow,
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
            mProcesses.add(process);
            process.start();
        }

        void restart() {
            mTime.remove(mCanRun);
            mProcesses.clear();
            mCanRun = () -> false;
            mFrozenUntilMillis = 0;
            mFaultThread.schedule(this::startIfDown, mRandom.nextInt(12_000));
        }

        private void startIfDown() {
            if (mProcesses.isEmpty()) {
                start();
            }
        }

        void beginPlannedStop() {
            if (mCanRun.getAsBoolean()) {
                CompletableFuture<?> unused = mProcesses.get(0).handOver();
                mFaultThread.schedule(this::restart, 3000);
            }
        }

        void freeze(long millis) {
            mFrozenUntilMillis = mTime.millis() + millis;
        }

        void clearFaults() {
            mFrozenUntilMillis = 0;
            mCutOff = false;
            mLinkBroken = false;
            mSlow = false;
            mFaultThread.schedule(this::startIfDown, 0);
        }

        boolean isActing(String shard) {
            List<String> acting = new ArrayList<>();
            addActing(shard, acting);
            return !acting.isEmpty() && mProcesses.get(0).ownedShard(shard).isDefined();
        }

        void addActing(String shard, List<String> acting) {
            for (OwnershipService process : mProcesses) {
                for (ShardHolding holding : process.shardManager().holdings()) {
                    if (holding.row().shard().equals(shard)
                            && holding.confirmation().isConfirmed()) {
                        acting.add(mName + " epoch " + holding.row().epoch());
                    }
                }
            }
        }

        CompletableFuture<byte[]> receive(int type, byte[] payload) {
            if (mProcesses.isEmpty() || mLinkBroken) {
                return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
            }
            CompletableFuture<byte[]> answer = new CompletableFuture<>();
            long thawMillis = Math.max(0, mFrozenUntilMillis - mTime.millis());
            mFaultThread.schedule(
                    () -> answerTo(type, payload, answer), thawMillis + mRandom.nextInt(30));
            return answer;
        }

        private void answerTo(int type, byte[] payload, CompletableFuture<byte[]> answer) {
            if (mProcesses.isEmpty() || !mCanRun.getAsBoolean()) {
                answer.completeExceptionally(new IllegalStateException("no answer"));
                return;
            }
            OwnershipService process = mProcesses.get(0);
            boolean isOffer = type == PeerCallType.HANDOVER.number();
            byte[] bytes =
                    (isOffer ? process.onHandover(payload) : process.onTableStatus(payload)).join();
            mFaultThread.schedule(() -> answer.complete(bytes), mRandom.nextInt(30));
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
                if (mLinkBroken) {
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
            private int mCount;
            private int mPending;
            private final CompletableFuture<Boolean> mQuiesced = new CompletableFuture<>();

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
                completeWhenIdle();
                return mQuiesced;
            }

            private void completeWhenIdle() {
                if (mStopped && mPending == 0) {
                    mQuiesced.complete(true);
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
                String name = String.format("%s/%06d/%06d", shard, mContext.epoch(), mCount++);
                long withinMillis = mRandom.nextBoolean() ? 0 : mRandom.nextInt(2000);
                ShardEvent event = new ShardEvent.JobCancelled(name);
                mPending++;
                CompletableFuture<?> unused =
                        mContext.log()
                                .append(List.of(event), withinMillis)
                                .thenAccept(result -> handleOutcome(event, name, result.isRight()));
                mThread.schedule(this::append, 50 + mRandom.nextInt(400));
            }

            private void handleOutcome(ShardEvent event, String name, boolean isDurable) {
                (isDurable ? mAcknowledged : mRefused).add(name);
                if (isDurable) {
                    mHistory.add(event);
                }
                mPending--;
                completeWhenIdle();
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
