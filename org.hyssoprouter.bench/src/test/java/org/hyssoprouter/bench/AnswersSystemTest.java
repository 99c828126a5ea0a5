package org.hyssoprouter.bench;

import static org.hyssoprouter.bench.SystemAssertions.assertGuarantees;

import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.TrafficClass;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Verifies answers and verdicts while executors and daemons fail. */
@Tag("system")
class AnswersSystemTest {
    private static CellPlan plan() {
        return Scenario.shortTimeoutPlan()
                .domain("south-a", "south", 2, 2)
                .domain("south-b", "south", 2, 2);
    }

    @Test
    void eachCallerReceivesItsCompleteAnswer() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 3, 16)) {
            Cell cell = scenario.cell();
            scenario.startLoops(AnswersSystemTest::requestOfVaryingSize);
            Cell.sleep(1_000);
            for (ExecutorInfo executor : cell.executors()) {
                cell.client().injectFaults(executor.address(), "{'cutInAnswer':4}");
            }
            Cell.sleep(1_000);
            DaemonProcess frozen = cell.daemons().get(0);
            frozen.process().suspend();
            Cell.sleep(800);
            frozen.process().resume();
            cell.daemons().get(3).process().kill();
            Cell.sleep(3_000);
            scenario.awaitRunCount(100);
            scenario.finish();
            assertGuarantees(scenario.history(), 100, 0);
        }
    }

    @Test
    void notRunVerdictMeansNoExecution() throws Exception {
        try (Scenario scenario = Scenario.start(plan(), 4, 12)) {
            Cell cell = scenario.cell();
            scenario.startLoops(AnswersSystemTest::requestWithoutKey);
            for (ExecutorInfo executor : cell.executors()) {
                cell.client()
                        .injectFaults(executor.address(), "{'cutBeforeRun':2,'cutAfterRun':2}");
            }
            Cell.sleep(2_000);
            cell.client().injectFaults(cell.executors().get(0).address(), "{'silent':true}");
            cell.client().injectFaults(cell.executors().get(1).address(), "{'silenceOpen':true}");
            Cell.sleep(1_000);
            cell.daemons().get(0).process().kill();
            Cell.sleep(2_500);
            cell.client().injectFaults(cell.executors().get(0).address(), "{'silent':false}");
            cell.client().injectFaults(cell.executors().get(2).address(), "{'delayMillis':900}");
            Cell.sleep(2_000);
            scenario.awaitRunCount(100);
            scenario.finish();
            assertGuarantees(scenario.history(), 100, 0);
        }
    }

    /** Varies the answer size and run time so that answers arrive out of order. */
    private static CallerRequest requestOfVaryingSize(int index) {
        CallerRequest request =
                index % 3 == 0
                        ? CallerRequest.atMostOnce(
                                "own-" + index, CellConfig.FIRST_CUSTOMER, index % 7 * 20L)
                        : CallerRequest.idempotent(
                                "own-" + index, CellConfig.FIRST_CUSTOMER, index % 5 * 20L);
        int sizeBytes = index % 4 == 0 ? 600_000 : index % 50;
        return request.withSizes(sizeBytes, index % 8 == 0 ? 200_000 : 0);
    }

    /** Creates a request without an idempotency key, which must not reach a target twice. */
    private static CallerRequest requestWithoutKey(int index) {
        return new CallerRequest(
                "once-" + index,
                CellConfig.FIRST_CUSTOMER,
                TrafficClass.NORMAL,
                700,
                false,
                null,
                20,
                0,
                0);
    }
}
