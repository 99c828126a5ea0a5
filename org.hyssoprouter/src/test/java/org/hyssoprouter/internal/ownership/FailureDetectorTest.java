package org.hyssoprouter.internal.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Compares the time without a heartbeat that the detector maintains with one computed from the full
 * history of reads.
 */
final class FailureDetectorTest {
    private static final long DEAD_AFTER_MILLIS = 4000;
    private static final long MAX_GAP_MILLIS = 2500;
    private static final int STEPS = 60;

    private record Read(long startMillis, long endMillis, long version, boolean breaksSeries) {}

    @Property(seed = "7401", tries = 500)
    void countsOnlyUnbrokenReadsOfAnUnchangedRow(@ForAll long seed) {
        Random random = new Random(seed);
        FailureDetector detector = new FailureDetector(DEAD_AFTER_MILLIS, MAX_GAP_MILLIS);
        List<Read> reads = new ArrayList<>();
        long nowMillis = 0;
        long version = 1;
        for (int step = 0; step < STEPS; step++) {
            nowMillis += 1 + (random.nextInt(10) == 0 ? random.nextInt(4000) : 1000);
            long startMillis = nowMillis;
            nowMillis += random.nextInt(200);
            version += random.nextInt(8) == 0 ? 1 : 0;
            switch (random.nextInt(20)) {
                case 0 -> {
                    detector.onReadFailed();
                    reads.add(new Read(startMillis, nowMillis, version, true));
                }
                case 1 -> {
                    if (detector.promiseNoTakeover(nowMillis, 0)) {
                        reads.add(new Read(startMillis, nowMillis, version, true));
                    }
                }
                default -> {
                    detector.onReadSucceeded(startMillis, nowMillis, Map.of("a", version));
                    reads.add(new Read(startMillis, nowMillis, version, false));
                }
            }
            long expected = expectedMillis(reads);
            assertEquals(expected, detector.millisWithoutHeartbeat("a"));
            assertEquals(expected >= DEAD_AFTER_MILLIS, detector.isDead("a"));
        }
    }

    private static long expectedMillis(List<Read> reads) {
        int last = reads.size() - 1;
        if (last < 0 || reads.get(last).breaksSeries()) {
            return 0;
        }
        int first = last;
        while (first > 0 && isContinuation(reads.get(first - 1), reads.get(first))) {
            first--;
        }
        return reads.get(last).startMillis() - reads.get(first).endMillis();
    }

    private static boolean isContinuation(Read before, Read after) {
        boolean isOnTime = after.endMillis() - before.startMillis() <= MAX_GAP_MILLIS;
        return !before.breaksSeries() && isOnTime && before.version() == after.version();
    }
}
