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

    /** Operations of the model check. */
    public static class Operations {
        private final SlotTracker mLedger = new SlotTracker();

        /** Makes a ledger of one executor that has said that it is empty. */
        public Operations() {
            ExecutorInfo info = new ExecutorInfo("e", "s", "127.0.0.1:1", SLOTS, 64);
            mLedger.updateHosts(
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
            mLedger.beginDueQueries(0).forEach(due -> mLedger.onQueryAnswered(due, 0, 0, 0));
        }

        @Operation
        public boolean take() {
            return mLedger.acquire("s", TrafficClass.NORMAL, 100).isDefined();
        }

        @Operation
        public boolean takeBulk() {
            return mLedger.acquire("s", TrafficClass.BULK, 50).isDefined();
        }

        @Operation
        public int inUse() {
            return mLedger.load("s", 0).inUse();
        }
    }
}
