package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertGuarantees;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Verifies that a leaving host receives no new work, even across a change of shard owner. */
@Tag("system")
class LeavingSystemTest {
    private static final String SHARD = "south-a";

    @Test
    void leavingHostReceivesNoNewWork() throws Exception {
        CellPlan plan = Scenario.shortTimeoutPlan().domain(SHARD, "south", 2, 4);
        try (Scenario scenario = Scenario.start(plan, 6, 6)) {
            Cell cell = scenario.cell();
            cell.client().injectFaults(cell.platformAddress(), "{'hostListLagMillis':1000}");
            scenario.submitBatchJob("stream", 200, 500);
            scenario.startLoops(SystemAssertions::mixedRequest);
            Cell.sleep(1_500);
            scenario.markHostLeaving(cell.hosts().get(0).worker());
            Cell.sleep(2_000);
            DaemonProcess frozen = cell.ownerOf(SHARD);
            frozen.process().suspend();
            scenario.markHostLeaving(cell.hosts().get(1).worker());
            cell.awaitOwnerOtherThan(frozen, SHARD);
            Cell.sleep(2_500);
            frozen.process().resume();
            Cell.sleep(4_000);
            scenario.awaitRunCount(100);
            scenario.finish();
            assertGuarantees(scenario.history(), 100, 200);
        }
    }
}
