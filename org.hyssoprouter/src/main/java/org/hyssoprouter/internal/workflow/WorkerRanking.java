package org.hyssoprouter.internal.workflow;

/**
 * Preference among the workers that have room for a step. It only orders them, so that it never
 * keeps a task waiting.
 */
interface WorkerRanking {
    /** Prefers no worker. */
    WorkerRanking NONE =
            new WorkerRanking() {
                @Override
                public int cost(PoolWorker worker) {
                    return 0;
                }

                @Override
                public int slowness(PoolWorker worker) {
                    return 0;
                }

                @Override
                public boolean spreads() {
                    return false;
                }
            };

    /** Returns the expected slowdown by what runs there, in steps of {@link WorkerPace#BAND}. */
    int cost(PoolWorker worker);

    /** Returns how much slower a worker is for the step, in steps of {@link WorkerPace#BAND}. */
    int slowness(PoolWorker worker);

    /** Returns whether tasks of the step slow down each other. */
    boolean spreads();
}
