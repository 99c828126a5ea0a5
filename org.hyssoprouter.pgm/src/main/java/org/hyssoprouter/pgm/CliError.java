package org.hyssoprouter.pgm;

/**
 * Error of a command: an exit code for scripts and texts for operators.
 *
 * @param exitCode exit code of the process
 * @param message description of the error
 * @param hint advice on how to proceed; empty if there is none
 * @since 0.1
 */
public record CliError(ExitCode exitCode, String message, String hint) {
    /** Returns an error whose hint is the message with the key {@code hintKey}. */
    static CliError of(ExitCode exitCode, String message, String hintKey) {
        return new CliError(exitCode, message, Messages.format(hintKey));
    }
}
