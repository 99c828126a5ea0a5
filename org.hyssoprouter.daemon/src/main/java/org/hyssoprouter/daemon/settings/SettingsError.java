package org.hyssoprouter.daemon.settings;

/**
 * Error in a settings file.
 *
 * @param file name of the file as given by the user
 * @param line line number from 1, or 0 if the error has no position in the file
 * @param key key concerned, or empty
 * @param expectation description of the error and of the expected value
 * @since 0.1
 */
public record SettingsError(String file, int line, String key, String expectation) {
    /** Returns the error as one human-readable line. */
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        return key.isEmpty() ? place + ": " + expectation : place + ": " + key + ": " + expectation;
    }
}
