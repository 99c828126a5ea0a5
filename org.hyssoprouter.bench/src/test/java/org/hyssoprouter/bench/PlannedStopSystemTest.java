package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertAllRan;
import static org.hyssoprouter.bench.SystemAssertions.assertGuarantees;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Verifies that a planned stop of daemons loses no request in flight. */
@Tag("system")
class PlannedStopSystemTest {
    private static final String SHARD = "south-a";
    private static final int EXIT_SECONDS = 30;

    @Test
    void plannedStopDoesNotInterruptRequests() throws Exception {
        CellPlan plan =
                Scenario.shortTimeoutPlan()
                        .domain(SHARD, "south", 3, 2)
                        .domain("south-b", "south", 2, 2);
        try (Scenario scenario = Scenario.start(plan, 7, 10)) {
            Cell cell = scenario.cell();
            scenario.startLoops(PlannedStopSystemTest::slowRequest);
            Cell.sleep(1_000);
            stop(cell.ownerOf(SHARD));
            Cell.sleep(500);
            DaemonProcess owner = cell.ownerOf(SHARD);
            DaemonProcess other = cell.liveDaemonExcept(List.of(owner));
            owner.process().terminate();
            other.process().terminate();
            assertStopped(owner);
            assertStopped(other);
            Cell.sleep(1_000);
            List<CallerAnswer> last = scenario.finish();
            assertAllRan(last);
            assertEquals(List.of(), interrupted(scenario.loadGenerator().answers()));
            assertGuarantees(scenario.history(), 100, 0);
        }
    }

    private static void stop(DaemonProcess daemon) {
        daemon.process().terminate();
        assertStopped(daemon);
    }

    private static void assertStopped(DaemonProcess daemon) {
        assertTrue(daemon.process().waitForExit(EXIT_SECONDS), daemon.name() + " did not exit");
        assertEquals(0, daemon.process().exitCode(), daemon.name());
    }

    /** Returns lost requests; a planned stop may reject a request with verdict NOT_RUN. */
    private static List<CallerAnswer> interrupted(List<CallerAnswer> answers) {
        return answers.stream()
                .filter(answer -> !answer.ran() && answer.verdict() != Verdict.NOT_RUN)
                .toList();
    }

    private static CallerRequest slowRequest(int index) {
        return new CallerRequest(
                "slow-" + index,
                CellConfig.FIRST_CUSTOMER,
                TrafficClass.NORMAL,
                5_000,
                false,
                null,
                300,
                0,
                0);
    }
}
