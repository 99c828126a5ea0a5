package org.hyssoprouter.internal.workspace;

import io.vavr.control.Option;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;

/**
 * Finds the workspace of an API key in one version of the configuration. Built once per version, so
 * that a call costs the same for ten or for ten thousand keys.
 *
 * @since 0.3
 */
public final class KeyIndex {
    private final long mVersion;
    private final Map<String, String> mWorkspaces = new HashMap<>();

    /** Creates the index of a configuration. */
    public KeyIndex(PoolConfig config) {
        mVersion = config.version();
        for (WorkspacePolicy workspace : config.workspaces()) {
            workspace.keys().forEach(key -> mWorkspaces.put(key.text(), workspace.name()));
        }
    }

    /** Returns the version of the configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns the name of the workspace that a key belongs to, or none if it is unknown. */
    public Option<String> workspaceOf(String key) {
        return Option.of(mWorkspaces.get(key));
    }

    /** Returns the workspaces by the text of their keys. */
    Map<String, String> workspaces() {
        return Collections.unmodifiableMap(mWorkspaces);
    }
}
