package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.lib.workflow.TaskStart;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Decisions of the scheduler that wait for a commit: changed workflows, the starts and the ends of
 * runs that depend on their rows, and the load.
 */
final class PendingChanges {
    /** Rows of a commit besides the owner's row, whose check and write are two of 100 entries. */
    private static final int MAX_ROWS = 98;

    /**
     * Time after the opening of the pools in which the load waits for the first reports of the
     * workers. Workflows that may have begun are counted as waiting then.
     */
    private static final long SETTLE_MILLIS = 1_500;

    private static final EventLogger LOG = EventLogger.of(PendingChanges.class);

    private final PoolScheduler mScheduler;
    private final MonotonicClock mClock;
    private final Set<String> mChangedIds = new LinkedHashSet<>();
    private final CommitRows mRows;
    private final LoadRows mLoad = new LoadRows();
    private final RefusedWorkflows mRefused;
    private long mWorkflowsReadMillis;
    private long mReadAtMillis;
    private boolean mOpen;
    private long mOpenedMillis;
    private final PendingEnds mEnds = new PendingEnds();
    private final PendingStarts mStarts;

    /**
     * Changes that one commit makes durable.
     *
     * @param batch rows to write
     * @param included rows of workflows among them
     * @param starts starts that become ready
     * @param ends processed ends of runs that become durable
     * @param load rows of the load among the batch
     */
    record Group(
            PartitionTable.Batch batch,
            CommitRows.Included included,
            PendingStarts.Taken starts,
            Map<String, PoolScheduler.ProcessedEnds> ends,
            LoadRows.Due load) {
        /** Returns a group without changes. */
        static Group empty() {
            return new Group(
                    new PartitionTable.Batch(Schema.POOLS_PARTITION),
                    new CommitRows.Included(),
                    PendingStarts.Taken.NONE,
                    Map.of(),
                    LoadRows.Due.NOTHING);
        }

        /** Returns whether the batch writes more than the owner's row. */
        boolean hasChanges() {
            return batch.writes().stream().anyMatch(it -> !it.name().equals(Schema.OWNER_KEY));
        }
    }

    /** Why a commit does not carry the load. */
    enum LoadHold {
        /** Not all accepted workflows have been read. */
        UNOPENED,
        /** Rows that the store refuses are searched for. */
        REFUSED_ROWS,
        /** Workers may soon tell which workflows have begun under a former owner. */
        UNSETTLED
    }

    PendingChanges(PoolScheduler scheduler, MonotonicClock clock, int maxRowBytes) {
        mScheduler = scheduler;
        mClock = clock;
        mRows = new CommitRows(scheduler, maxRowBytes);
        mRefused = new RefusedWorkflows(clock);
        mReadAtMillis = clock.millis();
        mStarts = new PendingStarts(scheduler.rows()::isGang);
    }

    /** Returns the rows of the workflows. */
    CommitRows rows() {
        return mRows;
    }

    /** Publishes the load from now on, as all workflows accepted before have been added. */
    void openLoad() {
        mOpen = true;
        mOpenedMillis = mClock.millis();
    }

    /** Records the clock of the store up to which all accepted workflows have been added. */
    void recordWorkflowsRead(long storeMillis) {
        mWorkflowsReadMillis = storeMillis;
        mReadAtMillis = mClock.millis();
    }

    /** Returns the age of what is known of the accepted workflows, in milliseconds. */
    long acceptedAgeMillis() {
        return mClock.millis() - mReadAtMillis;
    }

    /** Marks a workflow as changed, whose rows are to be compared with those of a former owner. */
    void markChanged(String id) {
        mChangedIds.add(id);
    }

    /**
     * Takes over the scheduler's output. Ends count as durable with the rows that they have
     * changed, so these must be known before the processed ends are noted.
     */
    void collect() {
        mChangedIds.addAll(mScheduler.output().takeChangedWorkflows());
        mStarts.addAll(mScheduler.output().takeStarts());
    }

    /** Returns whether no changed workflow waits that the store may take now. */
    boolean isEmpty() {
        return mRefused.allowed(mChangedIds).isEmpty();
    }

    int workflowCount() {
        return mChangedIds.size();
    }

    int startCount() {
        return mStarts.count();
    }

    /** Returns the number of further workflows whose starts the next commit can include. */
    int remainingStartingWorkflows() {
        int remaining = mRows.maxStartingWorkflows(mChangedIds) - mStarts.workflows().size();
        return Math.max(0, remaining);
    }

    /** Returns the highest durable sequence number of a worker's run ends, or 0. */
    long durableEndSequence(String workerId) {
        return mEnds.durableSequence(workerId, mScheduler.processedEnds(workerId));
    }

    /** Removes and returns the changes of the next commit. */
    Group next() {
        Set<String> storable = new LinkedHashSet<>(mChangedIds);
        storable.removeIf(mRefused::contains);
        mEnds.capture(storable, mRows::waitingRows, mScheduler.processedEnds());
        LoadRows.Due load = dueLoad();
        PartitionTable.Batch batch = new PartitionTable.Batch(Schema.POOLS_PARTITION);
        CommitRows.Included included =
                mRows.put(
                        batch,
                        mRefused.allowed(mChangedIds),
                        mStarts.workflows(),
                        new CommitRows.Limits(
                                MAX_ROWS - load.rows().size(), mRefused.maxWorkflows()));
        load.rows().forEach((key, value) -> batch.put(Schema.STATES, key, value));
        mChangedIds.removeAll(included.complete());
        // A workflow whose rows take several commits does not keep others from theirs.
        mChangedIds.removeAll(included.remaining().keySet());
        mChangedIds.addAll(included.remaining().keySet());
        PendingStarts.Taken starts = mStarts.take(it -> mRows.includes(included, it));
        return new Group(batch, included, starts, mEnds.take(included), load);
    }

    /** Returns the number of workflows counted as waiting that may have begun. */
    int unsettledCount() {
        return mScheduler.queued().unsettledCount();
    }

    /** Returns why the next commit does not carry the load; none if it may. */
    Option<LoadHold> loadHold() {
        if (!mOpen) {
            return Option.some(LoadHold.UNOPENED);
        }
        // While refused rows are searched for, those of the load must not be taken for them.
        if (mRefused.isSearching() && !isEmpty()) {
            return Option.some(LoadHold.REFUSED_ROWS);
        }
        boolean isSettling =
                mClock.millis() - mOpenedMillis < SETTLE_MILLIS && unsettledCount() > 0;
        return Option.when(isSettling, LoadHold.UNSETTLED);
    }

    private LoadRows.Due dueLoad() {
        return loadHold().isDefined()
                ? LoadRows.Due.NOTHING
                : mLoad.due(mScheduler.queued().counts(), mWorkflowsReadMillis, mClock.millis());
    }

    /** Records that a group is durable. */
    void recordDurable(Group group) {
        group.included().recordDurable();
        mLoad.recordDurable();
        mRefused.onTaken(group.included().workflows()).forEach(mScheduler.rows()::endHold);
        mEnds.recordDurable(group.ends());
    }

    /**
     * Takes back a group that the store has refused while it took another commit. A workflow whose
     * rows it refuses by themselves is left out, and its tasks are not placed.
     *
     * @param certain whether the store has said that it never takes the group
     */
    void restoreRefused(Group group, boolean certain) {
        Set<String> ids = group.included().workflows();
        List<String> changed = new ArrayList<>(ids);
        changed.addAll(mChangedIds);
        mChangedIds.clear();
        mChangedIds.addAll(changed);
        mStarts.restore(group.starts());
        mEnds.restore();
        mLoad.forgetUnwritten();
        if (mRefused.onRefused(ids, certain)) {
            ids.forEach(id -> leaveOut(id, certain));
        }
    }

    private void leaveOut(String id, boolean certain) {
        collect();
        List<TaskStart> withdrawn = mStarts.remove(id);
        mEnds.forget(id);
        mScheduler.rows().hold(id, withdrawn, mClock.millis());
        LOG.log(LogEvent.WORKFLOW_NOT_STORED, id, certain, withdrawn.size());
    }
}
