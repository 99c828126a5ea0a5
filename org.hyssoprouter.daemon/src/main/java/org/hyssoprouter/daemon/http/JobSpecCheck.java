package org.hyssoprouter.daemon.http;

import io.vavr.control.Option;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/** Checks the form of a submitted job; whether it fits the cell is decided by its home shard. */
final class JobSpecCheck {
    private static final String ID = "[A-Za-z0-9._-]{1,128}";
    private static final int MAX_TASKS = 100_000;
    private static final int MAX_ATTEMPTS = 1_000;

    private JobSpecCheck() {}

    /** Returns the first fault, or none. Fields read from JSON may be null. */
    static Option<Refusal> fault(JobSpec spec) {
        if (!matchesId(spec.id())) {
            return bad("id", "expected 1 to 128 letters, digits, '.', '_' or '-'");
        }
        if (!matchesId(spec.customer())) {
            return bad("customer", "expected the name of a customer");
        }
        if (isAbsent(spec.kind())) {
            return bad("kind", "expected one of service, batch, gang");
        }
        if (isAbsent(spec.trafficClass())) {
            return bad("trafficClass", "expected one of urgent, normal, bulk");
        }
        if (isAbsent(spec.command())) {
            return bad("command", "expected a text, may be empty");
        }
        if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS) {
            return bad("taskCount", "expected a whole number from 1 to " + MAX_TASKS);
        }
        if (spec.maxAttempts() < 1 || spec.maxAttempts() > MAX_ATTEMPTS) {
            return bad("maxAttempts", "expected a whole number from 1 to " + MAX_ATTEMPTS);
        }
        if (spec.runTimeMillis() < 0) {
            return bad("runTimeMillis", "expected 0 (unknown) or more");
        }
        return roomFault(spec.room());
    }

    private static Option<Refusal> roomFault(@Nullable Room room) {
        if (room == null) {
            return bad("room", "expected cpuMillis, memoryBytes and accelerators");
        }
        if (room.cpuMillis() < 1) {
            return bad("room.cpuMillis", "expected 1 or more");
        }
        if (room.memoryBytes() < 1) {
            return bad("room.memoryBytes", "expected 1 or more");
        }
        if (room.accelerators() < 0) {
            return bad("room.accelerators", "expected 0 or more");
        }
        return Option.none();
    }

    private static Option<Refusal> bad(String field, String expectation) {
        return Option.some(Refusal.badField(field, expectation));
    }

    private static boolean matchesId(@Nullable String text) {
        return text != null && text.matches(ID);
    }

    private static boolean isAbsent(@Nullable Object value) {
        return value == null;
    }
}
