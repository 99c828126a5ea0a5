package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertGuarantees;

import org.hyssoprouter.lib.HostInfo;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Verifies capacity and single execution of tasks across faults of the shard owner. */
@Tag("system")
class OwnerFaultsSystemTest {
    private static final String SHARD = "south-a";

    private static CellPlan plan() {
        return Scenario.shortTimeoutPlan().domain(SHARD, "south", 3, 3);
    }

    @Test
    void takeoversNeverOverfillWorkers() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 1, 6)) {
            Cell cell = scenario.cell();
            // The long tasks start when the short ones end, during the outage, so that no journal
            // contains them.
            scenario.submitBatchJob("short", 12, 2_000);
            scenario.submitBatchJob("long", 12, 9_000);
            scenario.submitBatchJob("fill", 150, 700);
            scenario.startLoops(SystemAssertions::mixedRequest);
            Cell.sleep(1_500);
            DaemonProcess first = cell.ownerOf(SHARD);
            cell.client().injectFaults(cell.platformAddress(), "{'loseReplies':3}");
            Cell.sleep(300);
            cell.client().injectFaults(cell.platformAddress(), "{'outage':true}");
            Cell.sleep(1_000);
            first.process().kill();
            cell.client().injectFaults(cell.platformAddress(), "{'outage':false}");
            DaemonProcess second = cell.awaitOwnerOtherThan(first, SHARD);
            first.restart();
            Cell.sleep(1_000);
            second.process().suspend();
            DaemonProcess third = cell.awaitOwnerOtherThan(second, SHARD);
            third.process().kill();
            second.process().resume();
            cell.awaitOwnerOtherThan(third, SHARD);
            scenario.awaitRunCount(100);
            scenario.finish();
            assertGuarantees(scenario.history(), 100, 150);
        }
    }

    @Test
    void noTaskRunsOnTwoWorkers() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 2, 4)) {
            Cell cell = scenario.cell();
            scenario.submitBatchJob("wander", 60, 2_500);
            scenario.startLoops(SystemAssertions::mixedRequest);
            Cell.sleep(1_500);
            HostInfo silent = cell.hosts().get(0);
            cell.client().injectFaults(silent.address(), "{'silent':true}");
            DaemonProcess frozen = cell.ownerOf(SHARD);
            Cell.sleep(500);
            frozen.process().suspend();
            cell.awaitOwnerOtherThan(frozen, SHARD);
            frozen.process().resume();
            Cell.sleep(4_000);
            cell.client().injectFaults(silent.address(), "{'silent':false,'delayMillis':300}");
            scenario.markHostLeaving(cell.hosts().get(1).worker());
            cell.client().injectFaults(cell.platformAddress(), "{'outage':true}");
            Cell.sleep(2_000);
            cell.client().injectFaults(cell.platformAddress(), "{'outage':false}");
            scenario.awaitRunCount(50);
            scenario.finish();
            assertGuarantees(scenario.history(), 50, 60);
        }
    }
}
