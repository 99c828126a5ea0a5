package org.hyssoprouter.pgm;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A command of the command line.
 *
 * @param name its words
 * @param arguments names of its arguments, separated by spaces; empty for none
 * @param summary one line for the help
 * @param options options of its own
 * @param action what it does
 */
record Subcommand(String name, String arguments, String summary, Options options, Action action) {
    /** What a verb does. */
    @FunctionalInterface
    interface Action {
        /**
         * Carries the verb out.
         *
         * @param client the cell
         * @param line its options and arguments
         */
        Either<CliError, CommandResult> run(ApiClient client, CommandLine line);
    }

    Subcommand(String name, String arguments, String summary, Action action) {
        this(name, arguments, summary, new Options(), action);
    }

    /** Returns how it is called. */
    String usageLine() {
        return arguments.isEmpty() ? name + " [OPTIONS]" : name + " [OPTIONS] " + arguments;
    }

    /** Returns the number of its arguments. */
    int argumentCount() {
        return arguments.isEmpty() ? 0 : arguments.split(" ").length;
    }
}
