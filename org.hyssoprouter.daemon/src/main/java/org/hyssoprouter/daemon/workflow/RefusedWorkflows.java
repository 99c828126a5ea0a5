package org.hyssoprouter.daemon.workflow;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Finds the workflows whose rows the store does not take, while it takes other rows. Commits that
 * it refuses are halved down to a single workflow, which is then left out and tried by itself from
 * time to time.
 */
final class RefusedWorkflows {
    /** Time until a refused workflow is tried again; doubles with each refusal. */
    static final long MIN_PAUSE_MILLIS = 1_000;

    static final long MAX_PAUSE_MILLIS = 30_000;

    /**
     * Refusals of a single workflow after which it is left out, if the store may have refused it
     * for another reason.
     */
    static final int MAX_UNCERTAIN_REFUSALS = 3;

    /** More workflows than a commit holds. */
    private static final int UNLIMITED = 128;

    private final MonotonicClock mClock;

    /** Time until which a workflow is left out, in milliseconds. */
    private final Map<String, Long> mLeftOut = new HashMap<>();

    /** Last pause of each workflow that was ever left out, in milliseconds. */
    private final Map<String, Long> mPauses = new HashMap<>();

    private final Map<String, Integer> mUncertainRefusals = new HashMap<>();
    private int mMaxWorkflows = UNLIMITED;
    private boolean mUncertainBefore;

    RefusedWorkflows(MonotonicClock clock) {
        mClock = clock;
    }

    /** Returns the maximum number of workflows in the next commit. */
    int maxWorkflows() {
        return mMaxWorkflows;
    }

    /** Returns whether commits are limited to find the workflows that the store refuses. */
    boolean isSearching() {
        return mMaxWorkflows != UNLIMITED;
    }

    /** Returns whether a workflow is left out, including one that is due to be tried again. */
    boolean contains(String id) {
        return mLeftOut.containsKey(id);
    }

    boolean isEmpty() {
        return mLeftOut.isEmpty();
    }

    /**
     * Returns the changed workflows that the next commit may include: one that is due to be tried
     * again by itself, or all that are not left out.
     */
    Set<String> allowed(Set<String> changedIds) {
        if (mLeftOut.isEmpty()) {
            return changedIds;
        }
        Set<String> allowed = new LinkedHashSet<>();
        for (String id : changedIds) {
            Long untilMillis = mLeftOut.get(id);
            if (untilMillis == null) {
                allowed.add(id);
            } else if (mClock.millis() >= untilMillis) {
                return Set.of(id);
            }
        }
        return allowed;
    }

    /**
     * Records that the store has refused a commit while it took another one.
     *
     * @param ids workflows in the commit
     * @param certain whether the store has said that it never takes the commit
     * @return whether a single workflow was found, which is left out from now on
     */
    boolean onRefused(Set<String> ids, boolean certain) {
        boolean isFirst = !certain && !mUncertainBefore;
        mUncertainBefore = !certain;
        if (isFirst) {
            // The store may have recovered between the two commits.
            return false;
        }
        if (ids.size() > 1) {
            mMaxWorkflows = Math.max(1, ids.size() / 2);
            return false;
        }
        mMaxWorkflows = 1;
        if (ids.isEmpty()) {
            return false;
        }
        String id = ids.iterator().next();
        int refusals = mUncertainRefusals.merge(id, 1, Integer::sum);
        if (!certain && refusals < MAX_UNCERTAIN_REFUSALS) {
            return false;
        }
        mUncertainRefusals.remove(id);
        long pauseMillis =
                mPauses.merge(
                        id,
                        MIN_PAUSE_MILLIS,
                        (former, first) -> Math.min(MAX_PAUSE_MILLIS, 2 * former));
        mLeftOut.put(id, mClock.millis() + pauseMillis);
        return true;
    }

    /**
     * Records that the store has taken a commit.
     *
     * @param ids workflows in the commit
     * @return the workflow that was left out and is not any more, if there is one
     */
    Set<String> onTaken(Set<String> ids) {
        mUncertainBefore &= ids.isEmpty();
        ids.forEach(mUncertainRefusals::remove);
        if (!ids.isEmpty() && isSearching()) {
            mMaxWorkflows = Math.min(UNLIMITED, 2 * mMaxWorkflows);
        }
        Set<String> returned = new LinkedHashSet<>(ids);
        returned.retainAll(mLeftOut.keySet());
        returned.forEach(mLeftOut::remove);
        return returned;
    }
}
