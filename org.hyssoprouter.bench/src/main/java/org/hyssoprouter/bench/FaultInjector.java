package org.hyssoprouter.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Random;

/** Injects one random fault at a time and ends it, so that a run is a row of faults. */
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

    /** Injects a fault, waits for a random time and ends it. */
    void injectOne() throws IOException {
        int millis = MIN_FAULT_MILLIS + mRandom.nextInt(MAX_FAULT_MILLIS - MIN_FAULT_MILLIS);
        DaemonProcess daemon = pick(mCell.daemons());
        switch (mRandom.nextInt(8)) {
            case 0 -> kill(daemon, millis);
            case 1 -> freeze(daemon, millis);
            case 2 -> killDuringOutage(daemon, millis);
            case 3 -> platform("{'outage':true}", "{'outage':false}", millis);
            case 4 -> platform("{'loseReplies':4,'lateWriteMillis':200}", "{}", millis);
            case 5 -> platform("{'delayMillis':250}", "{'delayMillis':0}", millis);
            case 6 -> worker(millis);
            default -> executor(millis);
        }
    }

    private void kill(DaemonProcess daemon, long millis) throws IOException {
        say("kill " + daemon.name(), millis);
        daemon.process().kill();
        Cell.pause(millis);
        daemon.restart();
    }

    private void freeze(DaemonProcess daemon, long millis) {
        say("freeze " + daemon.name(), millis);
        daemon.process().suspend();
        Cell.pause(millis);
        daemon.process().resume();
    }

    private void killDuringOutage(DaemonProcess daemon, long millis) throws IOException {
        say("outage, in it kill " + daemon.name(), millis);
        mCell.client().fault(mCell.platformAddress(), "{'outage':true}");
        Cell.pause(millis / 2);
        daemon.process().kill();
        Cell.pause(millis / 2);
        mCell.client().fault(mCell.platformAddress(), "{'outage':false}");
        daemon.restart();
    }

    private void platform(String order, String end, long millis) {
        say("platform " + order, millis);
        mCell.client().fault(mCell.platformAddress(), order);
        Cell.pause(millis);
        mCell.client().fault(mCell.platformAddress(), end);
    }

    private void worker(long millis) {
        String address = pick(mCell.hosts()).address();
        String fault =
                pick(List.of("'silent':true", "'answerDelayMillis':800", "'delayMillis':800"));
        say("worker " + address + " " + fault, millis);
        mCell.client().fault(address, "{" + fault + "}");
        Cell.pause(millis);
        mCell.client().fault(address, "{'silent':false,'answerDelayMillis':0,'delayMillis':0}");
    }

    private void executor(long millis) {
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
        say("executor " + address + " " + fault, millis);
        mCell.client().fault(address, "{" + fault + "}");
        Cell.pause(millis);
        mCell.client().fault(address, "{'silent':false,'delayMillis':0}");
    }

    private void say(String what, long millis) {
        mOut.println("fault: " + what + " for " + millis + " ms");
    }

    private <T> T pick(List<T> choices) {
        return choices.get(mRandom.nextInt(choices.size()));
    }
}
