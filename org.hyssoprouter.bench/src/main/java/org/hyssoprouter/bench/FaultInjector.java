package org.hyssoprouter.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;

/** Injects random faults, or an outage with a kill, and clears each before the next one. */
final class FaultInjector {
    private static final int MIN_FAULT_MILLIS = 300;
    private static final int MAX_FAULT_MILLIS = 4_000;

    private final Cell mCell;
    private final Random mRandom;
    private final PrintStream mOut;

    FaultInjector(Cell cell, Random random, PrintStream out) {
        mCell = cell;
        mRandom = random;
        mOut = out;
    }

    /** Injects a random fault, waits for a random time and clears the fault. */
    void injectOne() throws IOException {
        int millis = MIN_FAULT_MILLIS + mRandom.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
        DaemonProcess daemon = pick(mCell.daemons());
        switch (mRandom.nextInt(8)) {
            case 0 -> kill(daemon, millis);
            case 1 -> freeze(daemon, millis);
            case 2 -> killDuringOutage(daemon, millis);
            case 3 -> injectPlatformFault("{'outage':true}", "{'outage':false}", millis);
            case 4 -> injectPlatformFault("{'loseReplies':4,'lateWriteMillis':200}", "{}", millis);
            case 5 -> injectPlatformFault("{'delayMillis':250}", "{'delayMillis':0}", millis);
            case 6 -> injectWorkerFault(millis);
            default -> injectExecutorFault(millis);
        }
    }

    private void kill(DaemonProcess daemon, long millis) throws IOException {
        printFault("kill " + daemon.name(), millis);
        daemon.process().kill();
        Cell.sleep(millis);
        daemon.restart();
    }

    private void freeze(DaemonProcess daemon, long millis) {
        printFault("freeze " + daemon.name(), millis);
        daemon.process().suspend();
        Cell.sleep(millis);
        daemon.process().resume();
    }

    private void killDuringOutage(DaemonProcess daemon, long millis) throws IOException {
        printFault("platform outage with kill of " + daemon.name(), millis);
        mCell.client().injectFaults(mCell.platformAddress(), "{'outage':true}");
        Cell.sleep(millis / 2);
        daemon.process().kill();
        Cell.sleep(millis / 2);
        mCell.client().injectFaults(mCell.platformAddress(), "{'outage':false}");
        daemon.restart();
    }

    private void injectPlatformFault(String faults, String clearedFaults, long millis) {
        printFault("platform " + faults, millis);
        mCell.client().injectFaults(mCell.platformAddress(), faults);
        Cell.sleep(millis);
        mCell.client().injectFaults(mCell.platformAddress(), clearedFaults);
    }

    private void injectWorkerFault(long millis) {
        String address = pick(mCell.hosts()).address();
        String fault =
                pick(List.of("'silent':true", "'answerDelayMillis':800", "'delayMillis':800"));
        printFault("worker " + address + " " + fault, millis);
        mCell.client().injectFaults(address, "{" + fault + "}");
        Cell.sleep(millis);
        mCell.client()
                .injectFaults(address, "{'silent':false,'answerDelayMillis':0,'delayMillis':0}");
    }

    private void injectExecutorFault(long millis) {
        String address = pick(mCell.executors()).address();
        String fault =
                pick(
                        List.of(
                                "'silent':true",
                                "'silenceOpen':true",
                                "'delayMillis':500",
                                "'cutBeforeRun':5",
                                "'cutAfterRun':5",
                                "'cutInAnswer':5"));
        printFault("executor " + address + " " + fault, millis);
        mCell.client().injectFaults(address, "{" + fault + "}");
        Cell.sleep(millis);
        mCell.client().injectFaults(address, "{'silent':false,'delayMillis':0}");
    }

    private void printFault(String description, long millis) {
        mOut.println("fault: " + description + " for " + millis + " ms");
    }

    private <T> T pick(List<T> choices) {
        return choices.get(mRandom.nextInt(choices.size()));
    }
}
