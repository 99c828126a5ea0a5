package org.hyssoprouter.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.hyssoprouter.util.MessageCodec;

/**
 * Orders for faults, in which fields that are left out keep their value.
 *
 * @since 0.1
 */
public final class FaultMerger {
    private FaultMerger() {}

    /**
     * Returns the faults after an order.
     *
     * @param faults faults in force, a record
     * @param json JSON object with some fields of that record
     * @param type the record's type
     * @throws IOException if the order is malformed or names an unknown field
     */
    public static <T> T merge(T faults, byte[] json, Class<T> type) throws IOException {
        ObjectMapper mapper = MessageCodec.json();
        ObjectNode merged = mapper.valueToTree(faults);
        merged.setAll(mapper.readValue(json, ObjectNode.class));
        return mapper.treeToValue(merged, type);
    }
}
