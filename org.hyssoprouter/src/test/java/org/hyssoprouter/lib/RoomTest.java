package org.hyssoprouter.lib;

import static org.junit.jupiter.api.Assertions.assertEquals;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hyssoprouter.util.MessageCodec;
import org.junit.jupiter.api.Test;

class RoomTest {
    @Property(seed = "11")
    void minusUndoesPlus(
            @ForAll @IntRange(max = 64000) int cpu,
            @ForAll @IntRange int memory,
            @ForAll @IntRange(max = 8) int accelerators) {
        Room base = new Room(4000, 1 << 20, 2);
        Room other = new Room(cpu, memory, accelerators);
        assertEquals(base, base.plus(other).minus(other));
    }

    @Test
    void decodesItsOwnJsonEncoding() throws Exception {
        Room room = new Room(1, 2, 3);
        String json = MessageCodec.json().writeValueAsString(room);
        assertEquals(room, MessageCodec.json().readValue(json, Room.class));
    }
}
