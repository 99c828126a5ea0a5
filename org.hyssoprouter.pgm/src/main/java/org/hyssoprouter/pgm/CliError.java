package org.hyssoprouter.pgm;

/**
 * Failure of a command, for people and for scripts.
 *
 * @param exitCode exit code
 * @param message what went wrong
 * @param hint what to do next, or empty
 * @since 0.1
 */
public record CliError(ExitCode exitCode, String message, String hint) {
    /** Returns a failure whose hint is in the bundle of messages. */
    static CliError of(ExitCode exitCode, String message, String hintKey) {
        return new CliError(exitCode, message, Messages.format(hintKey));
    }
}
