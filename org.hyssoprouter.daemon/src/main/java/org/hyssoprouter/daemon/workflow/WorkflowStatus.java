package org.hyssoprouter.daemon.workflow;

import org.hyssoprouter.lib.workflow.WorkflowState;

/**
 * State of a workflow and who may see it.
 *
 * @param workspace name of the workspace that submitted it; empty for none, and for workflows of a
 *     release without workspaces
 */
record WorkflowStatus(WorkflowState state, String workspace) {
    /** Returns whether callers of a workspace may see the workflow; empty for no workspace. */
    boolean isVisibleTo(String callerWorkspace) {
        return isVisible(workspace, callerWorkspace);
    }

    static boolean isVisible(String workspace, String callerWorkspace) {
        return workspace.isEmpty() || workspace.equals(callerWorkspace);
    }
}
