package org.hyssoprouter.daemon.http;

import io.vavr.control.Option;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/**
 * Validates the fields of a submitted job. Whether the job fits the cell is checked by its home
 * shard.
 */
final class JobSpecValidator {
    private static final String ID_PATTERN = "[A-Za-z0-9._-]{1,128}";
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_ATTEMPTS = 1_000;

    private JobSpecValidator() {}

    /**
     * Returns a refusal for the first invalid field, or none. Fields read from JSON may be null.
     */
    static Option<Refusal> validate(JobSpec spec) {
        if (!matchesId(spec.id())) {
            return badField("id", "expected 1 to 128 letters, digits, '.', '_' or '-'");
        }
        if (!matchesId(spec.customer())) {
            return badField("customer", "expected the name of a customer");
        }
        if (isAbsent(spec.kind())) {
            return badField("kind", "expected one of service, batch, gang");
        }
        if (isAbsent(spec.trafficClass())) {
            return badField("trafficClass", "expected one of urgent, normal, bulk");
        }
        if (isAbsent(spec.command())) {
            return badField("command", "expected a string, which may be empty");
        }
        if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS) {
            return badField("taskCount", "expected a whole number from 1 to " + MAX_TASKS);
        }
        if (spec.maxAttempts() < 1 || spec.maxAttempts() > MAX_ATTEMPTS) {
            return badField("maxAttempts", "expected a whole number from 1 to " + MAX_ATTEMPTS);
        }
        if (spec.runTimeMillis() < 0) {
            return badField("runTimeMillis", "expected 0 (unknown) or more");
        }
        return validateRoom(spec.room());
    }

    private static Option<Refusal> validateRoom(@Nullable Room room) {
        if (room == null) {
            return badField("room", "expected cpuMillis, memoryBytes and accelerators");
        }
        if (room.cpuMillis() < 1) {
            return badField("room.cpuMillis", "expected 1 or more");
        }
        if (room.memoryBytes() < 1) {
            return badField("room.memoryBytes", "expected 1 or more");
        }
        if (room.accelerators() < 0) {
            return badField("room.accelerators", "expected 0 or more");
        }
        return Option.none();
    }

    private static Option<Refusal> badField(String field, String expectation) {
        return Option.some(Refusal.invalidField(field, expectation));
    }

    private static boolean matchesId(@Nullable String text) {
        return text != null && text.matches(ID_PATTERN);
    }

    private static boolean isAbsent(@Nullable Object value) {
        return value == null;
    }
}
