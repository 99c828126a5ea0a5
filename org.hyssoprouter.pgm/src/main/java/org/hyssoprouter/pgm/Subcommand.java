package org.hyssoprouter.pgm;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * Subcommand of the command line.
 *
 * @param name words that select the subcommand, separated by spaces
 * @param arguments names of the positional arguments, separated by spaces; empty if there are none
 * @param summary one-line description for the help
 * @param options options besides the common ones
 * @param action implementation
 */
record Subcommand(String name, String arguments, String summary, Options options, Action action) {
    /** Implementation of a subcommand. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the subcommand.
         *
         * @param client client of the daemons
         * @param line parsed options and arguments
         */
        Either<CliError, CommandResult> run(ApiClient client, CommandLine line);
    }

    Subcommand(String name, String arguments, String summary, Action action) {
        this(name, arguments, summary, new Options(), action);
    }

    /** Returns the usage line without the program name. */
    String usageLine() {
        return arguments.isEmpty() ? name + " [OPTIONS]" : name + " [OPTIONS] " + arguments;
    }

    /** Returns the number of positional arguments. */
    int argumentCount() {
        return arguments.isEmpty() ? 0 : arguments.split(" ").length;
    }
}
