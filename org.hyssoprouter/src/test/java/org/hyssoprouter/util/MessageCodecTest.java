package org.hyssoprouter.util;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.workflow.StepSpec;
import org.hyssoprouter.lib.workflow.WorkflowSpec;
import org.junit.jupiter.api.Test;

class MessageCodecTest {
    private static final byte NIL = (byte) 0xc0;

    /** Byte that no MessagePack value begins with. */
    private static final byte NEVER_USED = (byte) 0xc1;

    /** Array of one element. */
    private static final byte ARRAY_OF_ONE = (byte) 0x91;

    private static final WorkflowSpec SPEC =
            new WorkflowSpec(
                    "id",
                    "queue",
                    "payload",
                    List.of(
                            new StepSpec(
                                    2,
                                    new Room(1, 2, 3),
                                    4,
                                    List.of(),
                                    false,
                                    StepSpec.Limits.NONE,
                                    StepSpec.Behavior.PLAIN)),
                    WorkflowSpec.Schedule.ONCE);

    // Guards against readers of a table that start over forever at one row of another writer.
    @Test
    void bytesThatAreNoMessageAreReported() {
        byte[] nested = new byte[60_000];
        Arrays.fill(nested, ARRAY_OF_ONE);
        for (byte[] bytes :
                List.of(new byte[0], new byte[] {NIL}, new byte[] {NEVER_USED}, nested)) {
            assertThrows(
                    IOException.class,
                    () -> MessageCodec.decode(bytes, WorkflowSpec.class),
                    Arrays.toString(Arrays.copyOf(bytes, Math.min(4, bytes.length))));
        }
    }

    @Property(tries = 3_000)
    void randomBytesAreDecodedOrReported(@ForAll @Size(max = 40) byte[] bytes) {
        decodeOrReport(bytes);
    }

    @Property(tries = 3_000)
    void changedMessageIsDecodedOrReported(
            @ForAll @IntRange(max = 1_000) int place, @ForAll byte value) {
        byte[] bytes = MessageCodec.encode(SPEC);
        bytes[place % bytes.length] = value;
        decodeOrReport(bytes);
    }

    @Test
    void messageIsDecodedAsItWasEncoded() throws IOException {
        byte[] bytes = MessageCodec.encode(SPEC);
        assertArrayEquals(
                bytes, MessageCodec.encode(MessageCodec.decode(bytes, WorkflowSpec.class)));
    }

    private static void decodeOrReport(byte[] bytes) {
        try {
            assertNotNull(MessageCodec.decode(bytes, WorkflowSpec.class));
        } catch (IOException e) {
            assertNotNull(e.getMessage());
        }
    }
}
