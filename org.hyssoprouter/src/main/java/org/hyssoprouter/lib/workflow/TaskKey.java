package org.hyssoprouter.lib.workflow;

import io.vavr.control.Option;

/**
 * Identifies a task of a step.
 *
 * @param step key of the step
 * @param index index of the task in its step, from 0
 * @since 0.2
 */
public record TaskKey(StepKey step, int index) {
    private static final int PARTS = 4;

    /** Parses the text form, {@code workflow.occurrence.step.index}; none for any other text. */
    public static Option<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Option.none();
        }
        try {
            StepKey step =
                    new StepKey(parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            return Option.some(new TaskKey(step, Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            return Option.none();
        }
    }

    @Override
    public String toString() {
        return step.toString() + '.' + index;
    }
}
