package org.hyssoprouter.lib;

/**
 * Identity of one task of a job, the same over all of its attempts.
 *
 * @param job id of the job
 * @param index position of the task in its job, from 0
 * @since 0.1
 */
public record TaskId(String job, int index) {
    /** Returns the id in the form {@code job/index}. */
    @Override
    public String toString() {
        return job + "/" + index;
    }

    /**
     * Parses the form that {@link #toString()} writes.
     *
     * @throws IllegalArgumentException if {@code text} has another form
     */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash <= 0) {
            throw new IllegalArgumentException("task id is not of the form job/index: " + text);
        }
        return new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1)));
    }
}
