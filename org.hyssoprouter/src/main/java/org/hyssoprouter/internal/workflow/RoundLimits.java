package org.hyssoprouter.internal.workflow;

/**
 * Limits of one placement round. What exceeds them would wait for a commit, a free connection or a
 * daemon, and could be out of date before it is sent; it is left to a later round, in which more
 * urgent work may go first.
 *
 * @param steps number of steps with new runs after which the round ends
 * @param runs number of new runs after which the round ends
 * @param shortApprovals maximum number of approval requests with short calls
 * @param longApprovals maximum number of approval requests with long calls
 * @param reserved what of these starts is left for the workflows with the fewest runs
 * @since 0.2
 */
public record RoundLimits(
        int steps, int runs, int shortApprovals, int longApprovals, Reserved reserved) {
    /** No limits. */
    public static final RoundLimits NONE =
            new RoundLimits(
                    Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE);

    /** Creates limits of which nothing is reserved. */
    public RoundLimits(int steps, int runs, int shortApprovals, int longApprovals) {
        this(steps, runs, shortApprovals, longApprovals, Reserved.NONE);
    }

    /**
     * Starts that are left for the workflows with the fewest runs, if those that come first have
     * tasks for all of them.
     *
     * @param steps number of steps with new runs
     * @param runs number of new runs
     * @since 0.3
     */
    public record Reserved(int steps, int runs) {
        /** Nothing is reserved. */
        public static final Reserved NONE = new Reserved(0, 0);
    }

    /** Returns the number of steps with new runs that are not reserved. */
    int unreservedSteps() {
        return Math.max(0, steps - reserved.steps());
    }

    /** Returns the number of new runs that are not reserved. */
    int unreservedRuns() {
        return Math.max(0, runs - reserved.runs());
    }

    /** Returns whether a round may start any runs. */
    public boolean allowRuns() {
        return steps > 0 && runs > 0;
    }
}
