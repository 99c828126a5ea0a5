package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.io.IOException;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.WorkflowState;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/**
 * Caches the states of all workflows and the owner's load, and reports changes of the owner's row.
 */
final class WorkflowStateCache implements Service {
    private static final EventLogger LOG = EventLogger.of(WorkflowStateCache.class);
    // Bounds the time until a failed owner is noticed.
    private static final long READ_WAIT_MILLIS = 300;
    // Limits the rate of reads: the owner's row changes with every commit.
    private static final long READ_PAUSE_MILLIS = 150;

    /** Time without an answer of the store after which the states are too old: two slow reads. */
    private static final long MAX_AGE_MILLIS = 1_200;

    private final Map<String, WorkflowStatus> mStates = new ConcurrentHashMap<>();

    /** Shared instances, one for each state and workspace instead of one for each workflow. */
    private final Map<WorkflowStatus, WorkflowStatus> mStatuses = new ConcurrentHashMap<>();

    private final TableFollower mFollower;
    private final OwnerListener mOwnerListener;
    private final MonotonicClock mClock;
    private final StoreClock mStoreClock;
    private volatile long mLastAnswerMillis = -1;

    private final QueueCountCache mCounts;

    /** Receives the owner's row. All calls come from one thread. */
    interface OwnerListener {
        /** The row was read or has changed; none if it was deleted. */
        void onOwnerRow(Option<OwnerRow> row, long version);

        /** All changes up to a time of the store's clock have been read. */
        void onSynced(long storeMillis);

        /** A read failed. */
        void onReadFailed();
    }

    /**
     * Creates a cache that is empty before {@link #start()}.
     *
     * @param timeOfDay time of day, which goes on while the machine is suspended
     */
    WorkflowStateCache(
            PartitionTable table,
            OwnerListener ownerListener,
            MonotonicClock clock,
            Clock timeOfDay) {
        mClock = clock;
        mStoreClock = new StoreClock(clock);
        mCounts = new QueueCountCache(clock, timeOfDay, mStoreClock);
        mOwnerListener = ownerListener;
        mFollower =
                new TableFollower(
                        table,
                        new TableFollower.Subscription(
                                Schema.STATES,
                                List.of(Schema.POOLS_PARTITION),
                                READ_WAIT_MILLIS,
                                READ_PAUSE_MILLIS),
                        new StateRowListener());
    }

    @Override
    public void start() {
        mFollower.start();
    }

    @Override
    public void stop() {
        mFollower.stop();
    }

    Option<WorkflowStatus> statusOf(String id) {
        return Option.of(mStates.get(id));
    }

    /** Returns the clock of the store, as read with the states. */
    StoreClock storeClock() {
        return mStoreClock;
    }

    /** Returns whether the store has answered within a time, in milliseconds. */
    boolean hasAnswerWithin(long millis) {
        long answeredMillis = mLastAnswerMillis;
        return answeredMillis >= 0 && mClock.millis() - answeredMillis < millis;
    }

    /** Returns whether states that are not final can be told from memory. */
    boolean isRecent() {
        return hasAnswerWithin(MAX_AGE_MILLIS);
    }

    /** Returns the time since the store last answered, in milliseconds, or -1. */
    long answerAgeMillis() {
        long answerMillis = mLastAnswerMillis;
        return answerMillis < 0 ? -1 : mClock.millis() - answerMillis;
    }

    /**
     * Records a durable state. The answers of the store may arrive in another order than they were
     * given, so that an earlier state never replaces a later one.
     */
    void recordState(String id, WorkflowStatus status) {
        mStates.merge(id, share(status), WorkflowStateCache::later);
    }

    private static WorkflowStatus later(WorkflowStatus current, WorkflowStatus update) {
        boolean older = update.state() == WorkflowState.PENDING;
        return current.state().isFinal() || older ? current : update;
    }

    private WorkflowStatus share(WorkflowStatus status) {
        return mStatuses.computeIfAbsent(status, it -> it);
    }

    /** Returns the number of waiting workflows of a queue; none if no owner has published it. */
    Option<QueueCount> countOf(String queue) {
        return mCounts.countOf(queue);
    }

    private final class StateRowListener implements TableFollower.Listener {
        @Override
        public void onReset() {
            mCounts.onReset();
        }

        @Override
        public void onRow(PartitionTable.Entry entry) {
            byte[] value = entry.value();
            String key = entry.key().name();
            try {
                if (key.equals(Schema.OWNER_KEY)) {
                    Option<OwnerRow> row =
                            value == null
                                    ? Option.none()
                                    : Option.some(MessageCodec.decode(value, OwnerRow.class));
                    row.forEach(mCounts::putOwner);
                    mOwnerListener.onOwnerRow(row, entry.version());
                } else if (Schema.isLoadKey(key)) {
                    LoadRow row =
                            value == null
                                    ? LoadRow.NONE
                                    : MessageCodec.decode(value, LoadRow.class);
                    mCounts.putLoad(key, row);
                } else if (value == null) {
                    mStates.remove(key);
                } else {
                    recordState(key, Schema.decodeState(value));
                }
            } catch (IOException | IllegalArgumentException e) {
                LOG.log(LogEvent.ROW_UNREADABLE, key, e.getMessage());
            }
        }

        @Override
        public void onAnswered() {
            mLastAnswerMillis = mClock.millis();
        }

        @Override
        public void onSynced(long version, long storeMillis) {
            mStoreClock.recordReading(storeMillis);
            mCounts.onSynced();
            mOwnerListener.onSynced(storeMillis);
        }

        @Override
        public void onReadFailed(TableError error) {
            mOwnerListener.onReadFailed();
        }
    }
}
