package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertGuarantees;

import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.TrafficClass;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Verifies that a request with an idempotency key runs at most once despite retries. */
@Tag("system")
class AtMostOnceSystemTest {
    private static final String SHARD = "south-a";

    /** Gives two concurrent requests the same key, in addition to each caller's retries. */
    private static CallerRequest duplicatedRequest(int index) {
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
    void retriesThroughOtherEntriesDoNotRunAgain() throws Exception {
        CellPlan plan = Scenario.shortTimeoutPlan().domain(SHARD, "south", 3, 3);
        try (Scenario scenario = Scenario.start(plan, 5, 12)) {
            Cell cell = scenario.cell();
            scenario.startLoops(AtMostOnceSystemTest::duplicatedRequest);
            for (ExecutorInfo executor : cell.executors()) {
                cell.client().injectFaults(executor.address(), "{'cutAfterRun':10}");
            }
            Cell.sleep(1_500);
            cell.client()
                    .injectFaults(
                            cell.platformAddress(), "{'loseReplies':10,'lateWriteMillis':400}");
            Cell.sleep(1_500);
            cell.client().injectFaults(cell.platformAddress(), "{'outage':true}");
            Cell.sleep(1_500);
            cell.client().injectFaults(cell.platformAddress(), "{'outage':false}");
            Cell.sleep(1_500);
            DaemonProcess owner = cell.ownerOf(SHARD);
            owner.process().kill();
            cell.awaitOwnerOtherThan(owner, SHARD);
            Cell.sleep(3_000);
            scenario.awaitRunCount(100);
            scenario.finish();
            assertGuarantees(scenario.history(), 100, 0);
        }
    }
}
