package org.hyssoprouter.internal.request;

import java.util.List;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

class SlotTrackerConcurrencyTest {
    private static final int SLOTS = 2;

    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(3)
                .invocationsPerIteration(30)
                .threads(2)
                .actorsPerThread(2)
                .check(Operations.class);
    }

    /** Operations whose interleavings Lincheck explores. */
    public static class Operations {
        private final SlotTracker mTracker = new SlotTracker();

        /** Creates a tracker of one executor that has reported no slots in use. */
        public Operations() {
            ExecutorInfo info = new ExecutorInfo("e", "s", "127.0.0.1:1", SLOTS, 64);
            mTracker.updateHosts(
                    List.of(
                            new HostInfo(
                                    "w",
                                    "r",
                                    "d",
                                    "k",
                                    "127.0.0.1:2",
                                    HostState.LIVE,
                                    Room.NONE,
                                    List.of(info))));
            mTracker.beginDueQueries(0).forEach(due -> mTracker.onQueryAnswered(due, 0, 0, 0));
        }

        @Operation
        public boolean take() {
            return mTracker.acquire("s", TrafficClass.NORMAL, 100).isDefined();
        }

        @Operation
        public boolean takeBulk() {
            return mTracker.acquire("s", TrafficClass.BULK, 50).isDefined();
        }

        @Operation
        public int inUse() {
            return mTracker.load("s", 0).inUse();
        }
    }
}
