package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Passes accepted workflows to the owner's scheduler, with what a former owner has stored of them.
 */
final class AcceptedWorkflows implements JobRowReader.Listener {
    private final PoolScheduler mScheduler;
    private final PendingChanges mChanges;
    private final SerialExecutor mThread;
    private final MonotonicClock mClock;
    private final StoreClock mStoreClock;
    private final Listener mListener;
    private final Map<String, FormerWorkflow> mFormer = new HashMap<>();
    private final Set<String> mCancelledIds = new HashSet<>();
    private final EarlyCancels mEarlyCancels;

    /** Is told what the owner does next. */
    interface Listener {
        /** The workflows have changed. Called on the owner's thread. */
        void onWorkflowsChanged();

        /** All rows so far have been read. Called on the follower's thread. */
        void onWorkflowsRead();
    }

    /**
     * Creates the workflows of one ownership.
     *
     * @param thread the owner's thread
     */
    AcceptedWorkflows(
            PoolScheduler scheduler,
            PendingChanges changes,
            EarlyCancels earlyCancels,
            SerialExecutor thread,
            MonotonicClock clock,
            StoreClock storeClock,
            Listener listener) {
        mScheduler = scheduler;
        mChanges = changes;
        mEarlyCancels = earlyCancels;
        mThread = thread;
        mClock = clock;
        mStoreClock = storeClock;
        mListener = listener;
    }

    private void execute(Runnable change) {
        mThread.execute(
                () -> {
                    change.run();
                    mListener.onWorkflowsChanged();
                });
    }

    @Override
    public void onSynced(long storeMillis) {
        mThread.execute(() -> mChanges.recordWorkflowsRead(storeMillis));
        mListener.onWorkflowsRead();
    }

    @Override
    public void onAccepted(WorkflowSpec spec) {
        execute(() -> add(spec));
    }

    @Override
    public void onCancelled(String id) {
        execute(
                () -> {
                    mCancelledIds.add(id);
                    mScheduler.cancelWorkflow(id, mClock.millis());
                });
    }

    @Override
    public void onCancelledEarly(PartitionTable.Key key, long version, EarlyCancelRow row) {
        execute(() -> cancelEarly(key, version, row));
    }

    @Override
    public void onEarlyCancelDeleted(PartitionTable.Key key) {
        mThread.execute(() -> mEarlyCancels.remove(key));
    }

    /** Records the workflows that a former owner has stored. */
    void putFormer(Map<String, FormerWorkflow> workflows) {
        mFormer.putAll(workflows);
    }

    private void add(WorkflowSpec spec) {
        FormerWorkflow former = mFormer.remove(spec.id());
        long acceptedMillis = mStoreClock.toLocalMillis(spec.acceptedMillis());
        if (former == null) {
            mScheduler.addWorkflow(spec, acceptedMillis, mClock.millis());
        } else {
            restore(spec, former, acceptedMillis);
        }
        if (mCancelledIds.contains(spec.id())
                || mEarlyCancels.contains(spec.id(), spec.workspace())) {
            mScheduler.cancelWorkflow(spec.id(), mClock.millis());
        }
    }

    private void restore(WorkflowSpec spec, FormerWorkflow former, long acceptedMillis) {
        WorkflowRow row = former.row();
        mChanges.rows().recordPublishedState(spec.id(), row.state());
        mScheduler.restoreWorkflow(spec, row, acceptedMillis, mClock.millis());
        if (!former.parts().isEmpty()) {
            mChanges.rows().recordFormerParts(spec.id(), former);
            mChanges.markChanged(spec.id());
        }
    }

    /**
     * Handles the cancellation of a workflow that had no row. Its submission may have been stored
     * meanwhile, or be stored later.
     */
    private void cancelEarly(PartitionTable.Key key, long version, EarlyCancelRow row) {
        mEarlyCancels.put(key, version, row);
        String id = Schema.workflowIdOfEarlyCancelKey(key.name());
        if (mScheduler.rows().contains(id)
                && WorkflowStatus.isVisible(mScheduler.rows().workspaceOf(id), row.workspace())) {
            mScheduler.cancelWorkflow(id, mClock.millis());
        }
    }

    /** Deletes cancellations of workflows without a row that no submission can follow any more. */
    void deleteExpiredCancels() {
        mEarlyCancels.deleteExpiredIfDue(
                id -> mScheduler.rows().contains(id) && !mChanges.rows().isPublishedFinal(id));
    }

    /** Deletes what is left of the divided rows of finished workflows. */
    void deleteLeftovers() {
        List<String> keys = new ArrayList<>();
        mFormer.forEach(
                (id, former) -> {
                    if (former.row().state().isFinal()) {
                        former.parts().keySet().forEach(it -> keys.add(Schema.partKey(id, it)));
                    }
                });
        mChanges.rows().deleteLeftover(keys);
    }
}
