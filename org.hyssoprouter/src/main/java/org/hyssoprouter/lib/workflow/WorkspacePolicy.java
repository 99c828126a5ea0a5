package org.hyssoprouter.lib.workflow;

import java.util.List;
import org.hyssoprouter.lib.Room;

/**
 * Settings of a workspace in the configuration.
 *
 * @param name name of the workspace
 * @param weight share of a full pool relative to other workspaces, and number of workflows a second
 *     that it is expected to submit at most; above 0
 * @param quota total room that its runs may use; a component without a limit has the largest value
 * @param keys API keys that identify the callers of the workspace
 * @since 0.3
 */
public record WorkspacePolicy(String name, double weight, Room quota, List<ApiKey> keys) {}
