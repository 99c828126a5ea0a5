package org.hyssoprouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.lib.TrafficClass;

/**
 * Measures how long a cell with a single shard runs no requests when the owner of the shard is
 * killed, frozen or stopped as planned. A caller sends short requests one after the other through
 * another daemon; the result is the longest interval between two complete answers.
 *
 * @since 0.1
 */
public final class TakeoverCase implements MeasureCase {
    private static final String SHARD = "d";
    private static final int DAEMONS = 4;
    private static final int ROUNDS = 3;
    private static final long SETTLE_MILLIS = 2_000;
    private static final long RECOVERY_TIMEOUT_MILLIS = 60_000;
    private static final long REQUEST_TIMEOUT_MILLIS = 400;
    private static final long REQUEST_INTERVAL_MILLIS = 10;
    private static final int EXIT_TIMEOUT_SECONDS = 60;

    private enum Fault {
        KILL,
        FREEZE,
        STOP
    }

    @Override
    public String name() {
        return "takeover";
    }

    @Override
    public String description() {
        return "time without an owner after a kill, a freeze and a planned stop";
    }

    @Override
    public boolean run(MeasureOptions options, PrintStream out) throws Exception {
        boolean allRecovered = true;
        CellPlan plan = new CellPlan().domain(SHARD, "south", DAEMONS, 2);
        try (Cell cell = Cell.start(plan)) {
            for (Fault fault : Fault.values()) {
                List<Long> gaps = new ArrayList<>();
                for (int round = 0; round < ROUNDS; round++) {
                    gaps.add(measureGapMillis(cell, fault));
                }
                allRecovered &= gaps.stream().allMatch(gap -> gap < RECOVERY_TIMEOUT_MILLIS);
                ReportFormatter.printRow(out, "without answers, " + fault + ", ms", gaps);
                out.printf(
                        "{\"case\":\"takeover\",\"fault\":\"%s\",\"gapMillis\":%s}%n", fault, gaps);
            }
        }
        return allRecovered;
    }

    private static long measureGapMillis(Cell cell, Fault fault) throws Exception {
        Cell.await(
                "running owner of shard " + SHARD, RECOVERY_TIMEOUT_MILLIS, () -> hasOwner(cell));
        DaemonProcess owner = cell.ownerOf(SHARD);
        Prober prober = new Prober(cell, cell.liveDaemonExcept(List.of(owner)));
        CompletableFuture<Void> probing = CompletableFuture.runAsync(prober::run);
        Cell.await("first answers", RECOVERY_TIMEOUT_MILLIS, () -> prober.answerCount() > 0);
        Cell.sleep(SETTLE_MILLIS);
        long faultNanos = System.nanoTime();
        injectFault(fault, owner);
        Cell.sleep(SETTLE_MILLIS);
        Cell.await(
                "answers after " + fault,
                RECOVERY_TIMEOUT_MILLIS,
                () -> prober.lastAnswerNanos() - faultNanos > SETTLE_MILLIS * 1_000_000);
        Cell.sleep(SETTLE_MILLIS);
        prober.stop();
        probing.join();
        clearFault(fault, owner);
        Cell.sleep(SETTLE_MILLIS);
        return prober.longestGapMillis();
    }

    private static boolean hasOwner(Cell cell) {
        try {
            return cell.ownerOf(SHARD).process().isAlive();
        } catch (RuntimeException e) {
            return false;
        }
    }

    private static void injectFault(Fault fault, DaemonProcess owner) {
        switch (fault) {
            case KILL -> owner.process().kill();
            case FREEZE -> owner.process().suspend();
            default -> owner.process().terminate();
        }
    }

    private static void clearFault(Fault fault, DaemonProcess owner) throws Exception {
        if (fault == Fault.FREEZE) {
            owner.process().resume();
            return;
        }
        if (!owner.process().waitForExit(EXIT_TIMEOUT_SECONDS)) {
            throw new IllegalStateException(
                    owner.name() + " did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
        }
        owner.restart();
    }

    /** Sends requests one after the other and records the times of their answers. */
    private static final class Prober {
        private final Cell mCell;
        private final DaemonProcess mEntry;
        private final List<Long> mAnsweredNanos = new ArrayList<>();
        private volatile boolean mStopped;

        Prober(Cell cell, DaemonProcess entry) {
            mCell = cell;
            mEntry = entry;
        }

        void run() {
            for (int i = 0; !mStopped; i++) {
                CallerRequest request =
                        CallerRequest.idempotent(
                                        "p" + System.nanoTime() + i, CellConfig.FIRST_CUSTOMER, 1)
                                .withClass(TrafficClass.NORMAL, REQUEST_TIMEOUT_MILLIS);
                if (mCell.client().send(mEntry, request).ran()) {
                    recordAnswer(System.nanoTime());
                }
                Cell.sleep(REQUEST_INTERVAL_MILLIS);
            }
        }

        private synchronized void recordAnswer(long nanos) {
            mAnsweredNanos.add(nanos);
        }

        synchronized int answerCount() {
            return mAnsweredNanos.size();
        }

        synchronized long lastAnswerNanos() {
            return mAnsweredNanos.get(mAnsweredNanos.size() - 1);
        }

        void stop() {
            mStopped = true;
        }

        synchronized long longestGapMillis() {
            long longestNanos = 0;
            for (int i = 1; i < mAnsweredNanos.size(); i++) {
                longestNanos =
                        Math.max(longestNanos, mAnsweredNanos.get(i) - mAnsweredNanos.get(i - 1));
            }
            return longestNanos / 1_000_000;
        }
    }
}
