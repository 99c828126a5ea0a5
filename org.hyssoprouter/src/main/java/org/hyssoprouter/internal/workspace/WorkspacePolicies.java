package org.hyssoprouter.internal.workspace;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;

/**
 * Policies of workspaces by name. A removed workspace keeps its last policy, under which its
 * accepted workflows go on. Not thread-safe.
 *
 * @since 0.3
 */
public final class WorkspacePolicies {
    private final Map<String, WorkspacePolicy> mPolicies = new HashMap<>();

    /** Applies the workspaces of a configuration. */
    public void configure(Collection<WorkspacePolicy> policies) {
        policies.forEach(policy -> mPolicies.put(policy.name(), policy));
    }

    /** Returns the last known policy of a workspace, or none if it was never configured. */
    public Option<WorkspacePolicy> policyOf(String workspace) {
        return Option.of(mPolicies.get(workspace));
    }

    /** Returns whether no workspace was ever configured. */
    public boolean isEmpty() {
        return mPolicies.isEmpty();
    }
}
