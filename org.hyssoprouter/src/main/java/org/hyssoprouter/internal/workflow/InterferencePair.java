package org.hyssoprouter.internal.workflow;

/**
 * Pair of kinds of which one is believed to slow down the other on the same worker.
 *
 * @param slowed kind whose runs take longer
 * @param beside kind that runs beside them
 * @param factor estimated factor by which the runs take longer
 * @param lowestFactor lower bound of the factor within the confidence that a belief needs
 * @param samples number of recent samples with and without the other kind
 * @param workers number of workers on which the pair was observed, at most {@link
 *     InterferenceModel#MIN_WORKERS}
 * @since 0.3
 */
public record InterferencePair(
        String slowed,
        String beside,
        double factor,
        double lowestFactor,
        double samples,
        int workers) {}
