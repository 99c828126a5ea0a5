package org.hyssoprouter.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.hyssoprouter.util.MessageCodec;

/**
 * Merges partial JSON updates into the fault settings of a stand-in; absent fields keep their
 * value.
 *
 * @since 0.1
 */
public final class FaultMerger {
    private FaultMerger() {}

    /**
     * Returns the fault settings with an update applied.
     *
     * @param faults current settings, a record
     * @param json JSON object with the changed fields of that record
     * @param type type of the record
     * @throws IOException if the update is malformed or names an unknown field
     */
    public static <T> T merge(T faults, byte[] json, Class<T> type) throws IOException {
        ObjectMapper mapper = MessageCodec.json();
        ObjectNode merged = mapper.valueToTree(faults);
        merged.setAll(mapper.readValue(json, ObjectNode.class));
        return mapper.treeToValue(merged, type);
    }
}
