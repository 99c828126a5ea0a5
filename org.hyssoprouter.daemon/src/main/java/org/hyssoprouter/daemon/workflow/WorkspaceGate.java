package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.internal.workspace.WorkspaceAdmission;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;

/** Refuses workflows that can never run within the quota of their workspace. Thread-safe. */
final class WorkspaceGate implements SubmissionGate {
    private volatile Policies mPolicies = new Policies(Map.of(), 0);

    /** Workspaces of one version of the configuration, by name. */
    private record Policies(Map<String, WorkspacePolicy> byName, long version) {}

    /** Applies the configuration in force. */
    void configure(PoolConfig config) {
        Map<String, WorkspacePolicy> byName = new HashMap<>();
        config.workspaces().forEach(policy -> byName.put(policy.name(), policy));
        mPolicies = new Policies(byName, config.version());
    }

    @Override
    public Option<SubmitResult> refusalOf(WorkflowSpec spec) {
        Policies policies = mPolicies;
        return Option.of(policies.byName().get(spec.workspace()))
                .flatMap(it -> WorkspaceAdmission.reasonNeverRuns(spec, it, policies.version()))
                .map(SubmitResult::neverRuns);
    }
}
