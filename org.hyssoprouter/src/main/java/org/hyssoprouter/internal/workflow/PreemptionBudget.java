package org.hyssoprouter.internal.workflow;

/**
 * Bounds the share of a pool's time that stops and restarts of preempted tasks take.
 *
 * <p>Answers an overload that sustains itself: the time lost to preemption is missing to work off
 * the backlog, for which more tasks are preempted.
 */
final class PreemptionBudget {
    /** Largest share of the owner's workers' CPU time that preemption may take. */
    static final double MAX_LOST_SHARE = 0.05;

    /** Time over which the share is taken; a burst may use it at once. */
    static final long WINDOW_MILLIS = 2_000;

    private double mUsedMilliCoreMillis;
    private long mUpdatedMillis;

    /**
     * Returns whether tasks may be stopped now.
     *
     * @param capacityCpuMillis CPU of the workers, in thousandths of a core
     */
    boolean allows(long capacityCpuMillis, long nowMillis) {
        double share = MAX_LOST_SHARE * capacityCpuMillis;
        mUsedMilliCoreMillis =
                Math.max(0, mUsedMilliCoreMillis - share * (nowMillis - mUpdatedMillis));
        mUpdatedMillis = nowMillis;
        return mUsedMilliCoreMillis < share * WINDOW_MILLIS;
    }

    /** Records the core time that the stop and the restart of a task take. */
    void use(long lostMilliCoreMillis) {
        mUsedMilliCoreMillis += lostMilliCoreMillis;
    }
}
