package org.hyssoprouter.bench;

import java.io.PrintStream;

/**
 * A named measurement that {@code bin/measure} runs.
 *
 * @since 0.1
 */
public interface MeasureCase {
    /** Returns the name used on the command line. */
    String name();

    /** Returns a one-line description for the usage text. */
    String description();

    /**
     * Runs the measurement.
     *
     * @param options seed and duration from the command line
     * @param out stream for the results
     * @return whether all checks of the measurement passed
     * @throws Exception if the measurement cannot be completed
     */
    boolean run(MeasureOptions options, PrintStream out) throws Exception;
}
