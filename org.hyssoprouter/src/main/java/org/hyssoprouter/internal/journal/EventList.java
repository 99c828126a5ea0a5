package org.hyssoprouter.internal.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hyssoprouter.util.MessageCodec;

/**
 * Serialized form of a journal row and of a snapshot.
 *
 * @param events encoded events, in journal order
 * @since 0.1
 */
public record EventList(List<byte[]> events) {
    /** Encodes a list of events. */
    public static byte[] encode(List<ShardEvent> events) {
        return MessageCodec.encode(
                new EventList(events.stream().map(MessageCodec::encode).toList()));
    }

    /**
     * Decodes a list of events.
     *
     * @throws IOException if the bytes are not an encoded list of events
     */
    public static List<ShardEvent> decode(byte[] bytes) throws IOException {
        List<ShardEvent> events = new ArrayList<>();
        for (byte[] event : MessageCodec.decode(bytes, EventList.class).events()) {
            events.add(MessageCodec.decode(event, ShardEvent.class));
        }
        return events;
    }
}
