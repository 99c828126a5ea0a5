package org.hyssoprouter.lib;

/**
 * Identifies a task of a job; all attempts of the task share the id.
 *
 * @param job id of the job
 * @param index position of the task in its job, from 0
 * @since 0.1
 */
public record TaskId(String job, int index) {
    /** Returns the id in the format {@code job/index}. */
    @Override
    public String toString() {
        return job + "/" + index;
    }

    /**
     * Parses an id in the format of {@link #toString()}.
     *
     * @throws IllegalArgumentException if {@code text} is not in that format
     */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0) {
            throw new IllegalArgumentException("task id is not of the form job/index: " + text);
        }
        return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
    }
}
