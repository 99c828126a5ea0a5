package org.hyssoprouter.daemon.peer;

import io.netty.handler.codec.CorruptedFrameException;
import org.hyssoprouter.lib.TrafficClass;

/** Maps enum constants to their numbers on the wire, which do not depend on declaration order. */
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
        throw new CorruptedFrameException("unknown frame kind " + number);
    }
}
