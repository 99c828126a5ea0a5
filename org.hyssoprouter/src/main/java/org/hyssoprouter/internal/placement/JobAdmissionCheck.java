package org.hyssoprouter.internal.placement;

import io.vavr.control.Option;
import java.util.regex.Pattern;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.workspace.Quota;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.lib.WorkKind;

/**
 * Checks at submission whether a job is well-formed and whether it can ever run.
 *
 * @since 0.1
 */
public final class JobAdmissionCheck {
    /** Maximum number of tasks of one job. */
    public static final int MAX_TASKS = 10_000;

    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_COMMAND_CHARS = 16_384;
    private static final Pattern ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private JobAdmissionCheck() {}

    /** Checks the fields of a job, independently of its shard; returns a refusal or none. */
    public static Option<Refusal> checkForm(JobSpec spec) {
        if (spec.id() == null || !ID.matcher(spec.id()).matches()) {
            return badField("id", "expected 1 to 128 letters, digits, dots, dashes, underscores");
        }
        if (spec.customer() == null || spec.customer().isBlank()) {
            return badField("customer", "expected the name of a customer");
        }
        if (spec.kind() == null) {
            return badField("kind", "expected SERVICE, BATCH or GANG");
        }
        if (spec.trafficClass() == null) {
            return badField("trafficClass", "expected URGENT, NORMAL or BULK");
        }
        return checkNumbers(spec);
    }

    private static Option<Refusal> checkNumbers(JobSpec spec) {
        if (spec.taskCount() < 1 || spec.taskCount() > MAX_TASKS) {
            return badField("taskCount", "expected 1 to " + MAX_TASKS);
        }
        Room room = spec.room();
        if (room == null || room.isNegative()) {
            return badField("room", "expected no negative component");
        }
        if (room.cpuMillis() == 0 || room.memoryBytes() == 0) {
            return badField("room", "expected cpuMillis and memoryBytes above 0");
        }
        if (spec.runTimeMillis() < 0) {
            return badField("runTimeMillis", "expected 0 or more");
        }
        if (spec.maxAttempts() < 1 || spec.maxAttempts() > MAX_ATTEMPTS) {
            return badField("maxAttempts", "expected 1 to " + MAX_ATTEMPTS);
        }
        if (spec.command() == null || spec.command().length() > MAX_COMMAND_CHARS) {
            return badField("command", "expected at most " + MAX_COMMAND_CHARS + " characters");
        }
        return Option.none();
    }

    /**
     * Checks that the customer exists and that its quota admits the job; returns a refusal or none.
     */
    public static Option<Refusal> checkCustomer(JobSpec spec, EffectiveConfig config) {
        Option<CustomerPolicy> policy = config.policyOf(spec.customer());
        if (policy.isEmpty()) {
            return Option.some(
                    new Refusal(
                            RefusalCode.NOT_FOUND,
                            Verdict.NOT_RUN,
                            "customer: no customer named " + spec.customer(),
                            "customer",
                            0));
        }
        Room quota = policy.get().quota();
        int concurrent = spec.kind() == WorkKind.GANG ? spec.taskCount() : 1;
        if (!Quota.admits(spec.room(), concurrent, quota)) {
            return cannotRun(
                    concurrent
                            + " concurrent tasks exceed the quota of customer "
                            + spec.customer());
        }
        return Option.none();
    }

    /** Checks that the workers of a shard could run the job if idle; returns a refusal or none. */
    public static Option<Refusal> checkCapacity(JobSpec spec, Fleet fleet) {
        if (fleet.maxTasks(spec.room(), 1) < 1) {
            return cannotRun("room: exceeds the capacity of every worker of the shard");
        }
        if (spec.kind() != WorkKind.GANG) {
            return Option.none();
        }
        long maxTasks = fleet.maxTasks(spec.room(), spec.taskCount());
        if (maxTasks < spec.taskCount()) {
            return cannotRun(
                    "taskCount: the shard can run at most " + maxTasks + " of the tasks at once");
        }
        return Option.none();
    }

    private static Option<Refusal> cannotRun(String message) {
        return Option.some(Refusal.notRun(RefusalCode.CANNOT_RUN, message));
    }

    private static Option<Refusal> badField(String field, String expectation) {
        return Option.some(Refusal.invalidField(field, expectation));
    }
}
