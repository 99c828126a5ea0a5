package org.hyssoprouter.daemon.workflow;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.hyssoprouter.internal.workflow.PoolScheduler;

/**
 * Tracks which ends of runs are durable. Ends become durable once all rows are written that had
 * changed by then. While workflows change faster than they are written, some row is always left;
 * the ends of a fixed set of rows become durable all the same.
 */
final class PendingEnds {
    private final Map<String, PoolScheduler.ProcessedEnds> mDurable = new HashMap<>();
    private Map<String, PoolScheduler.ProcessedEnds> mEnds = Map.of();

    /** Names of the rows that must be written before the pending ends are durable, by workflow. */
    private Map<String, Set<String>> mRows = new HashMap<>();

    /** The same before the commit in flight. */
    private Map<String, Set<String>> mFormerRows = Map.of();

    /**
     * Returns the highest durable sequence number of a run end in an incarnation of a worker, or 0.
     */
    long durableSequence(String workerId, PoolScheduler.ProcessedEnds processed) {
        PoolScheduler.ProcessedEnds durable = mDurable.get(workerId);
        if (durable == null || durable.incarnationMillis() != processed.incarnationMillis()) {
            return 0;
        }
        return durable.sequence();
    }

    /**
     * Notes the processed ends and the rows that they wait for, unless earlier ones are pending.
     *
     * @param ids changed workflows
     * @param rowsOf returns the names of the rows that are to be written for a workflow
     */
    void capture(
            Set<String> ids,
            Function<String, Set<String>> rowsOf,
            Map<String, PoolScheduler.ProcessedEnds> ends) {
        if (mRows.isEmpty()) {
            ids.forEach(id -> mRows.put(id, new HashSet<>(rowsOf.apply(id))));
            mEnds = ends;
        }
    }

    /** Returns the pending ends if a commit includes the last rows that they need. */
    Map<String, PoolScheduler.ProcessedEnds> take(CommitRows.Included included) {
        mFormerRows = new HashMap<>();
        mRows.forEach((id, names) -> mFormerRows.put(id, new HashSet<>(names)));
        included.complete().forEach(mRows::remove);
        included.remaining().forEach(this::retain);
        return mRows.isEmpty() ? mEnds : Map.of();
    }

    private void retain(String id, Set<String> remaining) {
        Set<String> names = mRows.get(id);
        if (names == null) {
            return;
        }
        names.retainAll(remaining);
        if (names.isEmpty()) {
            mRows.remove(id);
        }
    }

    /** Takes back the ends of a commit that has had no effect and is not sent again. */
    void restore() {
        mRows = new HashMap<>(mFormerRows);
    }

    /** Waits no more for the rows of a workflow, which cannot be stored. */
    void forget(String id) {
        mRows.remove(id);
    }

    void recordDurable(Map<String, PoolScheduler.ProcessedEnds> ends) {
        mDurable.putAll(ends);
    }
}
