package org.hyssoprouter.bench;

import java.io.PrintStream;

/**
 * A named measurement that {@code bin/measure} runs.
 *
 * @since 0.1
 */
public interface MeasureCase {
    /** Returns the name on the command line. */
    String name();

    /** Returns one line for people on what it measures. */
    String description();

    /**
     * Runs the measurement.
     *
     * @param options options of the command line
     * @param out where figures go
     * @return whether everything that must hold held
     * @throws Exception if the measurement could not be made
     */
    boolean run(MeasureOptions options, PrintStream out) throws Exception;
}
