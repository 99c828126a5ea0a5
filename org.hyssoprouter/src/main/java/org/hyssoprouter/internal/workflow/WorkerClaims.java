package org.hyssoprouter.internal.workflow;

import java.util.HashMap;
import java.util.Map;

/**
 * Workers that a placement round keeps for a step that waits for room. Until that step is expected
 * to start, shorter tasks may run there.
 *
 * <p>Answers wide gangs among many small tasks: without claims, small tasks keep every worker
 * partly occupied; with claims alone, the room of a waiting gang is idle.
 */
final class WorkerClaims {
    private final PoolState mState;
    private final long mNowMillis;
    private final Map<PoolWorker, Claim> mClaims = new HashMap<>();

    private record Claim(Step step, long startMillis) {}

    WorkerClaims(PoolState state, long nowMillis) {
        mState = state;
        mNowMillis = nowMillis;
    }

    /**
     * Claims a worker unless another step did.
     *
     * @param startMillis expected start of the step, in milliseconds; {@link Long#MAX_VALUE} if no
     *     other step may use the worker
     */
    void claim(PoolWorker worker, Step step, long startMillis) {
        mClaims.putIfAbsent(worker, new Claim(step, startMillis));
    }

    /** Returns whether a step may start tasks on a worker. */
    boolean allow(Step step, PoolWorker worker) {
        Claim claim = mClaims.isEmpty() ? null : mClaims.get(worker);
        if (claim == null || claim.step().equals(step)) {
            return true;
        }
        return claim.startMillis() != Long.MAX_VALUE
                && mNowMillis + mState.mDurations.taskMillis(step) <= claim.startMillis();
    }
}
