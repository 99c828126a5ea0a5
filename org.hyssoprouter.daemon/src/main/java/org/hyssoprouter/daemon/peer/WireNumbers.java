package org.hyssoprouter.daemon.peer;

import io.netty.handler.codec.CorruptedFrameException;
import org.hyssoprouter.lib.TrafficClass;

/** Numbers that stand for constants on the wire; fixed, whatever the order of the constants. */
final class WireNumbers {
    private WireNumbers() {}

    static int numberOf(TrafficClass trafficClass) {
        return switch (trafficClass) {
            case URGENT -> 0;
            case NORMAL -> 1;
            case BULK -> 2;
        };
    }

    static TrafficClass trafficClassOf(int number) {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            if (numberOf(trafficClass) == number) {
                return trafficClass;
            }
        }
        throw new CorruptedFrameException("unknown traffic class " + number);
    }

    static Frame.Kind frameKindOf(int number) {
        for (Frame.Kind kind : Frame.Kind.values()) {
            if (kind.number() == number) {
                return kind;
            }
        }
        throw new CorruptedFrameException("unknown kind of frame " + number);
    }
}
