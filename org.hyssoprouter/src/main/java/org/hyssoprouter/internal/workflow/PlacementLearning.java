package org.hyssoprouter.internal.workflow;

/**
 * Selects what the choice of workers learns from the progress of runs.
 *
 * @param speeds whether quicker workers are chosen first for urgent work and gangs
 * @param interference whether kinds of tasks that slow each other down are kept apart
 * @since 0.3
 */
public record PlacementLearning(boolean speeds, boolean interference) {
    /** Learns nothing; workers are chosen by their room alone. */
    public static final PlacementLearning NONE = new PlacementLearning(false, false);

    /** Returns whether anything is learned. */
    public boolean isEnabled() {
        return speeds || interference;
    }
}
