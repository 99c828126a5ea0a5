package org.hyssoprouter.daemon.settings;

/**
 * One fault of a settings file.
 *
 * @param file file as it was named
 * @param line line from 1, or 0 when the fault has no place in the file
 * @param key key at fault, or empty
 * @param expectation what was expected
 * @since 0.1
 */
public record SettingsError(String file, int line, String key, String expectation) {
    /** Returns one line for people. */
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file;
        return key.isEmpty() ? place + ": " + expectation : place + ": " + key + ": " + expectation;
    }
}
