package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Registers this daemon in the members table and tracks the daemons of the cell by their rows. A
 * daemon removes its row when it leaves; the owner of the pools removes the rows of those that are
 * gone. A daemon that lives and finds its row removed registers again, so that a removal by mistake
 * costs time, never a promise.
 */
final class MemberRegistry implements Service {
    private static final EventLogger LOG = EventLogger.of(MemberRegistry.class);
    private static final long READ_WAIT_MILLIS = 10_000;
    private static final long READ_PAUSE_MILLIS = 200;
    private static final long REGISTER_RETRY_MILLIS = 500;

    /** Time without an answer of the store after which the open poll may be lost as well. */
    private static final long INTERRUPTION_MILLIS = 2_000;

    private final PartitionTable mTable;
    private final MemberRow mSelf;
    private final DelayScheduler mScheduler;
    private final Map<String, Listed> mMembers = new ConcurrentHashMap<>();
    private final TableFollower mFollower;
    private final MonotonicClock mClock;
    private final LongConsumer mRoundTripListener;
    private final OwnRegistration mRegistration = new OwnRegistration();
    private volatile List<MemberRow> mCurrent = List.of();
    private volatile List<MemberRow> mReplaced = List.of();
    private volatile boolean mSynced;

    /** Time of the store's last answer, on its clock, in milliseconds; used on one thread only. */
    private long mStoreMillis = -1;

    /**
     * Row of a daemon and the version at which it was written.
     *
     * @param version version of the row; 0 for this daemon's own entry
     */
    record Listed(MemberRow row, long version) {}

    /** Runs tasks after a delay. */
    interface DelayScheduler {
        void schedule(Runnable task, long delayMillis);
    }

    /**
     * Creates a registry before the first read.
     *
     * @param roundTripListener receives the duration of each call to the store, in milliseconds
     */
    MemberRegistry(
            PartitionTable table,
            WorkflowSettings settings,
            DelayScheduler scheduler,
            MonotonicClock clock,
            LongConsumer roundTripListener) {
        mClock = clock;
        mRoundTripListener = roundTripListener;
        mTable = table;
        mSelf =
                new MemberRow(
                        settings.name(),
                        settings.incarnation(),
                        settings.peerAddress(),
                        settings.cores(),
                        settings.region(),
                        settings.domain());
        mScheduler = scheduler;
        mFollower =
                new TableFollower(
                        table,
                        new TableFollower.Subscription(
                                Schema.MEMBERS, List.of(""), READ_WAIT_MILLIS, READ_PAUSE_MILLIS),
                        new MemberRowListener());
    }

    @Override
    public void start() {
        mMembers.put(mSelf.name(), new Listed(mSelf, 0));
        updateLists();
        mFollower.start();
        register();
    }

    @Override
    public void stop() {
        leave();
        mFollower.stop();
    }

    /** Removes this daemon's row, so that the others stop calling it; it is not written again. */
    void leave() {
        if (mRegistration.leave()) {
            removeOwnRow();
        }
    }

    /**
     * Records an answer of the store to this daemon. After an interruption the list is read anew,
     * because this daemon may have been removed, and others may have come and gone.
     *
     * @param storeMillis steady clock of the store, in milliseconds
     */
    void recordStoreAnswer(long storeMillis) {
        if (mStoreMillis >= 0 && storeMillis - mStoreMillis > INTERRUPTION_MILLIS) {
            mFollower.restartPoll();
        }
        mStoreMillis = storeMillis;
    }

    /**
     * Returns the daemons, including this one, sorted by name. Of several at one address only the
     * newest is returned, as the others are gone.
     */
    List<MemberRow> all() {
        return mCurrent;
    }

    /** Returns the daemons without this one, sorted by name. */
    List<MemberRow> others() {
        return mCurrent.stream().filter(it -> !it.equals(mSelf)).toList();
    }

    /** Returns the daemons whose address a newer one has. */
    List<MemberRow> replaced() {
        return mReplaced;
    }

    private synchronized void updateLists() {
        Map<String, Listed> newest = new HashMap<>();
        for (Listed listed : mMembers.values()) {
            newest.merge(
                    listed.row().address(),
                    listed,
                    (first, second) -> isNewer(first, second) ? first : second);
        }
        Map<Boolean, List<MemberRow>> lists =
                mMembers.values().stream()
                        .sorted(Comparator.comparing(it -> it.row().name()))
                        .collect(
                                Collectors.partitioningBy(
                                        it -> it.equals(newest.get(it.row().address())),
                                        Collectors.mapping(Listed::row, Collectors.toList())));
        mCurrent = lists.getOrDefault(true, List.of());
        mReplaced = lists.getOrDefault(false, List.of());
    }

    private boolean isNewer(Listed first, Listed second) {
        if (first.row().equals(mSelf) || second.row().equals(mSelf)) {
            return first.row().equals(mSelf);
        }
        return first.version() > second.version();
    }

    /**
     * Removes the row of a daemon that is gone, unless the row has changed meanwhile.
     *
     * @param reason reason for the log
     * @return whether the row was removed
     */
    CompletableFuture<Boolean> remove(MemberRow member, String reason) {
        Listed listed = mMembers.get(member.name());
        if (listed == null || !listed.row().equals(member) || member.equals(mSelf)) {
            return CompletableFuture.completedFuture(false);
        }
        return delete(member.name(), listed.version())
                .thenApply(
                        result -> {
                            LOG.log(
                                    LogEvent.MEMBER_REMOVED,
                                    member.name(),
                                    member.incarnation(),
                                    reason,
                                    result.fold(it -> it.error().message(), it -> "removed"));
                            if (result.isRight() && mMembers.remove(member.name(), listed)) {
                                updateLists();
                            }
                            return result.isRight();
                        });
    }

    private CompletableFuture<Either<PartitionTable.CommitFailure, PartitionTable.CommitResult>>
            delete(String name, long version) {
        PartitionTable.Batch batch =
                new PartitionTable.Batch("")
                        .check(Schema.MEMBERS, name, version)
                        .delete(Schema.MEMBERS, name);
        return PortCalls.recover(
                mTable.commit(batch),
                "removal of a member",
                PartitionTable.CommitFailure::unknownOutcome);
    }

    /**
     * Returns the processor time of the strongest daemon, in cores. Infinite before the first read,
     * so that no daemon takes itself for the strongest.
     */
    double maxCores() {
        if (!mSynced) {
            return Double.POSITIVE_INFINITY;
        }
        return all().stream().mapToDouble(MemberRow::cores).max().orElse(mSelf.cores());
    }

    /** Returns the other daemons with at least a share of the strongest one's processor time. */
    List<MemberRow> strongPeers(double share) {
        double cores = share * maxCores();
        return others().stream().filter(it -> it.cores() >= cores).toList();
    }

    /** Returns whether the list was read once. */
    boolean isSynced() {
        return mSynced;
    }

    MemberRow self() {
        return mSelf;
    }

    private void register() {
        long sentMillis = mClock.millis();
        PartitionTable.Batch batch =
                new PartitionTable.Batch("")
                        .put(Schema.MEMBERS, mSelf.name(), MessageCodec.encode(mSelf));
        CompletableFuture<Void> unused =
                PortCalls.recover(
                                mTable.commit(batch),
                                "registration",
                                PartitionTable.CommitFailure::unknownOutcome)
                        .thenAccept(result -> onRegisterResult(result, sentMillis));
    }

    private void onRegisterResult(
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result,
            long sentMillis) {
        if (result.isRight()) {
            mRoundTripListener.accept(mClock.millis() - sentMillis);
            mRegistration.onRegistered(result.get().version());
            if (mRegistration.isLeaving()) {
                removeOwnRow();
            } else {
                registerAgainIfRemoved();
            }
        } else if (!mRegistration.isLeaving()) {
            mScheduler.schedule(this::register, REGISTER_RETRY_MILLIS);
        }
    }

    private void registerAgainIfRemoved() {
        if (mRegistration.beginAgain()) {
            LOG.log(LogEvent.MEMBER_REGISTERED_AGAIN, mSelf.name(), mSelf.incarnation());
            register();
        }
    }

    private void removeOwnRow() {
        long version = mRegistration.version();
        if (version == 0) {
            // The registration is under way, and removes the row when it has ended.
            return;
        }
        CompletableFuture<Void> unused =
                delete(mSelf.name(), version).thenAccept(this::onOwnRowRemoved);
    }

    private void onOwnRowRemoved(
            Either<PartitionTable.CommitFailure, PartitionTable.CommitResult> result) {
        LOG.log(
                LogEvent.MEMBER_LEFT,
                mSelf.name(),
                result.fold(it -> it.error().message(), it -> "removed"));
        if (result.isLeft() && result.getLeft().error().kind() != TableError.Kind.CONFLICT) {
            mScheduler.schedule(this::removeOwnRow, REGISTER_RETRY_MILLIS);
        }
    }

    private final class MemberRowListener implements TableFollower.Listener {
        private @Nullable Set<String> mNamesRead;

        @Override
        public void onReset() {
            mNamesRead = new HashSet<>();
        }

        @Override
        public void onSynced(long version, long storeMillis) {
            Set<String> names = mNamesRead;
            mNamesRead = null;
            if (names != null) {
                List<String> missing =
                        mMembers.keySet().stream().filter(it -> !names.contains(it)).toList();
                missing.forEach(it -> handleRemoved(it, version));
            }
            mSynced = true;
        }

        @Override
        public void onRow(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String name = entry.key().name();
            if (mNamesRead != null) {
                mNamesRead.add(name);
            }
            if (value == null) {
                handleRemoved(name, entry.version());
                return;
            }
            try {
                MemberRow row = MessageCodec.decode(value, MemberRow.class);
                if (!name.equals(mSelf.name())) {
                    handleListed(new Listed(row, entry.version()));
                } else if (!row.incarnation().equals(mSelf.incarnation())) {
                    handleRemoved(name, entry.version());
                } else if (mRegistration.onListed(entry.version())) {
                    removeOwnRow();
                }
            } catch (IOException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, name, e.getMessage());
            }
        }
    }

    private void handleListed(Listed listed) {
        Listed former = mMembers.put(listed.row().name(), listed);
        updateLists();
        if (former == null || !former.row().equals(listed.row())) {
            MemberRow row = listed.row();
            LOG.log(LogEvent.MEMBER_LISTED, row.name(), row.address(), mMembers.size());
        }
    }

    /** Handles that there is no row of a member's present incarnation. */
    private void handleRemoved(String name, long version) {
        if (name.equals(mSelf.name())) {
            mRegistration.onRemoved(version);
            registerAgainIfRemoved();
        } else if (mMembers.remove(name) != null) {
            updateLists();
            LOG.log(LogEvent.MEMBER_UNLISTED, name, mMembers.size());
        }
    }
}
