package org.hyssoprouter.internal.workspace;

import io.vavr.control.Option;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;

/**
 * Checks at submission whether a workflow can ever run within the quota of its workspace. Steps
 * that are wider than the quota run in several parts, unless all of their tasks must run at once.
 *
 * @since 0.3
 */
public final class WorkspaceAdmission {
    private WorkspaceAdmission() {}

    /**
     * Returns the reason why a workflow can never run under a policy, or none if it can.
     *
     * @param configVersion version of the configuration that holds the policy, for the reason
     */
    public static Option<String> reasonNeverRuns(
            WorkflowSpec spec, WorkspacePolicy policy, long configVersion) {
        int number = 0;
        for (StepSpec step : spec.steps()) {
            int together = step.gang() ? step.taskCount() : 1;
            if (!Quota.admits(step.room(), together, policy.quota())) {
                return Option.some(
                        "step %d: %d tasks of %s at the same time exceed the quota of workspace"
                                        .formatted(number, together, text(step.room()))
                                + " \"%s\" in configuration %d"
                                        .formatted(policy.name(), configVersion));
            }
            number++;
        }
        return Option.none();
    }

    private static String text(Room room) {
        return "%d millicores, %d bytes, %d accelerators"
                .formatted(room.cpuMillis(), room.memoryBytes(), room.accelerators());
    }
}
