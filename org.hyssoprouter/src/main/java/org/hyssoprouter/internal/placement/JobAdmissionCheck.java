package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.regex.Pattern;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.WorkKind;

/**
 * Says at submission what is wrong with a job, or that it can never run.
 *
 * @since 0.1
 */
public final class JobAdmissionCheck {
    /** Most tasks of one job. */
    public static final int MAX_TASKS = 10_000;

    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_COMMAND_CHARS = 16_384;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private JobAdmissionCheck() {}

    /** Returns what is wrong with the form of a job, whichever shard it goes to. */
    public static Option<Refusal> checkForm(JobSpec spec) {
        if (spec.id() == null || !ID.matcher(spec.id()).matches()) {
            return bad("id", "expected 1 to 128 letters, digits, dots, dashes, underscores");
        }
        if (spec.customer() == null || spec.customer().isBlank()) {
            return bad("customer", "expected the name of a customer");
        }
        if (spec.kind() == null) {
            return bad("kind", "expected SERVICE, BATCH or GANG");
        }
        if (spec.trafficClass() == null) {
            return bad("trafficClass", "expected URGENT, NORMAL or BULK");
        }
        return numbers(spec);
    }

    private static Option<Refusal> numbers(JobSpec spec) {
        if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS) {
            return bad("taskCount", "expected 1 to " + MAX_TASKS);
        }
        Room room = spec.room();
        if (room == null || room.isNegative()) {
            return bad("room", "expected no negative amount");
        }
        if (room.cpuMillis() == 0 || room.memoryBytes() == 0) {
            return bad("room", "expected cpuMillis and memoryBytes above 0");
        }
        if (spec.runTimeMillis() < 0) {
            return bad("runTimeMillis", "expected 0 or more");
        }
        if (spec.maxAttempts() < 1 || spec.maxAttempts() > MAX_ATTEMPTS) {
            return bad("maxAttempts", "expected 1 to " + MAX_ATTEMPTS);
        }
        if (spec.command() == null || spec.command().length() > MAX_COMMAND_CHARS) {
            return bad("command", "expected at most " + MAX_COMMAND_CHARS + " characters");
        }
        return Option.none();
    }

    /** Returns why a job's customer cannot run it, ever or until the configuration changes. */
    public static Option<Refusal> checkCustomer(JobSpec spec, EffectiveConfig config) {
        Option<CustomerPolicy> policy = config.policyOf(spec.customer());
        if (policy.isEmpty()) {
            return Option.some(
                    new Refusal(
                            RefusalCode.NOT_FOUND,
                            Verdict.NOT_RUN,
                            "customer: no customer " + spec.customer(),
                            "customer",
                            0));
        }
        Room quota = policy.get().quota();
        int together = spec.kind() == WorkKind.GANG ? spec.taskCount() : 1;
        if (!fits(spec.room(), together, quota)) {
            return cannot(
                    together + " tasks at once exceed the quota of customer " + spec.customer());
        }
        return Option.none();
    }

    /** Returns why no worker of a shard can ever run a job. */
    public static Option<Refusal> checkCapacity(JobSpec spec, Fleet fleet) {
        if (fleet.maxTasks(spec.room(), 1) < 1) {
            return cannot("room: larger than any worker of the shard");
        }
        if (spec.kind() != WorkKind.GANG) {
            return Option.none();
        }
        long most = fleet.maxTasks(spec.room(), spec.taskCount());
        if (most < spec.taskCount()) {
            return cannot("taskCount: the shard can run at most " + most + " of them together");
        }
        return Option.none();
    }

    private static boolean fits(Room room, int count, Room quota) {
        return room.cpuMillis() <= quota.cpuMillis() / count
                && room.memoryBytes() <= quota.memoryBytes() / count
                && room.accelerators() <= quota.accelerators() / count;
    }

    private static Option<Refusal> cannot(String message) {
        return Option.some(Refusal.notRun(RefusalCode.CANNOT_RUN, message));
    }

    private static Option<Refusal> bad(String field, String expectation) {
        return Option.some(Refusal.badField(field, expectation));
    }
}
