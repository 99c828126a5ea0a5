package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertPromises;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("system")
class LeavingSystemTest {
    private static final String SHARD = "south-a";

    @Test
    void leavingTargetGetsNothingNew() throws Exception {
        CellPlan plan = Scenario.quickPlan().domain(SHARD, "south", 2, 4);
        try (Scenario scenario = Scenario.start(plan, 6, 6)) {
            Cell cell = scenario.cell();
            cell.client().fault(cell.platformAddress(), "{'hostListLagMillis':1000}");
            scenario.batch("stream", 200, 500);
            scenario.loop(SystemAssertions::mixed);
            Cell.pause(1_500);
            scenario.leave(cell.hosts().get(0).worker());
            Cell.pause(2_000);
            DaemonProcess frozen = cell.ownerOf(SHARD);
            frozen.process().suspend();
            scenario.leave(cell.hosts().get(1).worker());
            cell.awaitOwnerOtherThan(frozen, SHARD);
            Cell.pause(2_500);
            frozen.process().resume();
            Cell.pause(4_000);
            scenario.awaitRan(100);
            scenario.finish();
            assertPromises(scenario.history(), 100, 200);
        }
    }
}
