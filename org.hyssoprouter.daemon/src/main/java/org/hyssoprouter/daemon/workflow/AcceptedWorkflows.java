package org.hyssoprouter.daemon.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.internal.workflow.PoolScheduler;
import org.hyssoprouter.internal.workflow.WorkflowRow;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Passes accepted workflows to the owner's scheduler, with what a former owner has stored of them.
 */
final class AcceptedWorkflows {
    private final PoolScheduler mScheduler;
    private final PendingChanges mChanges;
    private final MonotonicClock mClock;
    private final StoreClock mStoreClock;
    private final Map<String, FormerWorkflow> mFormer = new HashMap<>();
    private final Set<String> mCancelledIds = new HashSet<>();

    AcceptedWorkflows(
            PoolScheduler scheduler,
            PendingChanges changes,
            MonotonicClock clock,
            StoreClock storeClock) {
        mScheduler = scheduler;
        mChanges = changes;
        mClock = clock;
        mStoreClock = storeClock;
    }

    /** Records the workflows that a former owner has stored. */
    void putFormer(Map<String, FormerWorkflow> workflows) {
        mFormer.putAll(workflows);
    }

    /** Handles a workflow of the jobs table. */
    void onAccepted(WorkflowSpec spec) {
        FormerWorkflow former = mFormer.remove(spec.id());
        long acceptedMillis = mStoreClock.toLocalMillis(spec.acceptedMillis());
        if (former == null) {
            mScheduler.addWorkflow(spec, acceptedMillis, mClock.millis());
        } else {
            restore(spec, former, acceptedMillis);
        }
        if (mCancelledIds.contains(spec.id())) {
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

    /** Handles the cancellation of a workflow, which may be read before the workflow. */
    void onCancelled(String id) {
        mCancelledIds.add(id);
        mScheduler.cancelWorkflow(id, mClock.millis());
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
