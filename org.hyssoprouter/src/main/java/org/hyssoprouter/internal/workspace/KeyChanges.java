package org.hyssoprouter.internal.workspace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.lib.workflow.ApiKey;

/**
 * Difference between the API keys of two versions, as fingerprints for operators. Bounded, since a
 * version may replace thousands of keys.
 *
 * @param added number of keys that the newer version has in addition
 * @param removed number of keys that it lacks
 * @param examples some of the removed keys with their workspaces
 * @since 0.3
 */
public record KeyChanges(int added, int removed, List<String> examples) {
    private static final int MAX_EXAMPLES = 8;

    /** Compares two indexes. */
    public static KeyChanges between(KeyIndex earlier, KeyIndex later) {
        Map<String, String> removed = new TreeMap<>(earlier.workspaces());
        removed.keySet().removeAll(later.workspaces().keySet());
        Map<String, String> added = new TreeMap<>(later.workspaces());
        added.keySet().removeAll(earlier.workspaces().keySet());
        List<String> examples = new ArrayList<>();
        removed.entrySet().stream()
                .limit(MAX_EXAMPLES)
                .forEach(it -> examples.add(it.getValue() + "/" + new ApiKey(it.getKey())));
        return new KeyChanges(added.size(), removed.size(), examples);
    }
}
