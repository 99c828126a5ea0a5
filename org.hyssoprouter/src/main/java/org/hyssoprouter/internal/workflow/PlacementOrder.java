package org.hyssoprouter.internal.workflow;

import java.util.Comparator;
import org.hyssoprouter.lib.workflow.QueuePolicy;

/** Order in which waiting steps are placed, and which running tasks may be stopped for them. */
interface PlacementOrder {
    /**
     * Position of a step in a placement round; the first of its values that differs decides, and
     * lower ones come first.
     *
     * @param urgency 0 is the most urgent. Tasks are stopped only for steps that are more urgent
     * @param isLate whether the workflow cannot meet its objective any more
     * @param acceptedMillis time at which the workflow was accepted, in milliseconds
     */
    record Rank(int urgency, boolean isLate, long acceptedMillis) implements Comparable<Rank> {
        private static final Comparator<Rank> ORDER =
                Comparator.comparingInt(Rank::urgency)
                        .thenComparing(Rank::isLate)
                        .thenComparingLong(Rank::acceptedMillis);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /** Returns the rank of a step at present. */
    Rank rank(Step step, QueuePolicy policy, long nowMillis);
}
