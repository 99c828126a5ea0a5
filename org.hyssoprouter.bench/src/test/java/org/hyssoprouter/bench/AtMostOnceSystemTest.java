package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertPromises;

import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.TrafficClass;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("system")
class AtMostOnceSystemTest {
    private static final String SHARD = "south-a";

    /** Each request goes out to two entries at a time, besides the repeats of its caller. */
    private static CallerRequest doubled(int index) {
        return new CallerRequest(
                "book-" + index / 2,
                CellConfig.FIRST_CUSTOMER,
                TrafficClass.NORMAL,
                1_000,
                false,
                "book-" + index / 2,
                30,
                0,
                0);
    }

    @Test
    void repeatsThroughOtherEntriesDoNotRunAgain() throws Exception {
        CellPlan plan = Scenario.quickPlan().domain(SHARD, "south", 3, 3);
        try (Scenario scenario = Scenario.start(plan, 5, 12)) {
            Cell cell = scenario.cell();
            scenario.loop(AtMostOnceSystemTest::doubled);
            for (ExecutorInfo executor : cell.executors()) {
                cell.client().fault(executor.address(), "{'cutAfterRun':10}");
            }
            Cell.pause(1_500);
            cell.client().fault(cell.platformAddress(), "{'loseReplies':10,'lateWriteMillis':400}");
            Cell.pause(1_500);
            cell.client().fault(cell.platformAddress(), "{'outage':true}");
            Cell.pause(1_500);
            cell.client().fault(cell.platformAddress(), "{'outage':false}");
            Cell.pause(1_500);
            DaemonProcess owner = cell.ownerOf(SHARD);
            owner.process().kill();
            cell.awaitOwnerOtherThan(owner, SHARD);
            Cell.pause(3_000);
            scenario.awaitRan(100);
            scenario.finish();
            assertPromises(scenario.history(), 100, 0);
        }
    }
}
