package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertPromises;

import org.hyssoprouter.lib.HostInfo;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("system")
class OwnerFaultsSystemTest {
    private static final String SHARD = "south-a";

    private static CellPlan plan() {
        return Scenario.quickPlan().domain(SHARD, "south", 3, 3);
    }

    @Test
    void workersAreNeverOverfilledOverTakeovers() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 1, 6)) {
            Cell cell = scenario.cell();
            // The long tasks start in the outage, when the short ones end: no journal holds them.
            scenario.batch("short", 12, 2_000);
            scenario.batch("long", 12, 9_000);
            scenario.batch("fill", 150, 700);
            scenario.loop(SystemAssertions::mixed);
            Cell.pause(1_500);
            DaemonProcess first = cell.ownerOf(SHARD);
            cell.client().fault(cell.platformAddress(), "{'loseReplies':3}");
            Cell.pause(300);
            cell.client().fault(cell.platformAddress(), "{'outage':true}");
            Cell.pause(1_000);
            first.process().kill();
            cell.client().fault(cell.platformAddress(), "{'outage':false}");
            DaemonProcess second = cell.awaitOwnerOtherThan(first, SHARD);
            first.restart();
            Cell.pause(1_000);
            second.process().suspend();
            DaemonProcess third = cell.awaitOwnerOtherThan(second, SHARD);
            third.process().kill();
            second.process().resume();
            cell.awaitOwnerOtherThan(third, SHARD);
            scenario.awaitRan(100);
            scenario.finish();
            assertPromises(scenario.history(), 100, 150);
        }
    }

    @Test
    void noTaskRunsInTwoPlaces() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 2, 4)) {
            Cell cell = scenario.cell();
            scenario.batch("wander", 60, 2_500);
            scenario.loop(SystemAssertions::mixed);
            Cell.pause(1_500);
            HostInfo silent = cell.hosts().get(0);
            cell.client().fault(silent.address(), "{'silent':true}");
            DaemonProcess frozen = cell.ownerOf(SHARD);
            Cell.pause(500);
            frozen.process().suspend();
            cell.awaitOwnerOtherThan(frozen, SHARD);
            frozen.process().resume();
            Cell.pause(4_000);
            cell.client().fault(silent.address(), "{'silent':false,'delayMillis':300}");
            scenario.leave(cell.hosts().get(1).worker());
            cell.client().fault(cell.platformAddress(), "{'outage':true}");
            Cell.pause(2_000);
            cell.client().fault(cell.platformAddress(), "{'outage':false}");
            scenario.awaitRan(50);
            scenario.finish();
            assertPromises(scenario.history(), 50, 60);
        }
    }
}
