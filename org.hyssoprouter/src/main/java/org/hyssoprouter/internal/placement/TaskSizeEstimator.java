package org.hyssoprouter.internal.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;

/**
 * Estimates the room that tasks need from the peak usage of ended tasks of the same customer and
 * command. Keeps a bounded number of commands and evicts the least recently used one. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class TaskSizeEstimator {
    private static final int MAX_COMMANDS = 1_000;
    // Samples kept per command.
    private static final int MAX_SAMPLES = 64;
    // With fewer samples the declared room is used.
    private static final int MIN_SAMPLES = 3;
    private static final int PERCENTILE = 95;

    private final Map<Key, Samples> mSamples =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Key, Samples> eldest) {
                    return size() > MAX_COMMANDS;
                }
            };

    /** Creates an estimator without samples. */
    public TaskSizeEstimator() {}

    /** Records the peak usage of an ended task; a report without usage is ignored. */
    public void recordUsage(JobSpec spec, Room peak) {
        if (peak.cpuMillis() <= 0 && peak.memoryBytes() <= 0) {
            return;
        }
        mSamples.computeIfAbsent(keyOf(spec), key -> new Samples()).add(peak);
    }

    /**
     * Returns the room to hold for a task: the larger of the declared room and the percentile of
     * the recorded usage. The recorded usage is capped at the largest worker, so that the task can
     * still be placed.
     *
     * @param largest capacity of the largest worker
     */
    public Room estimate(JobSpec spec, Room largest) {
        Room declared = spec.room();
        Samples samples = mSamples.get(keyOf(spec));
        if (samples == null || samples.mCount < MIN_SAMPLES || !declared.fitsIn(largest)) {
            return declared;
        }
        Room measured = samples.percentile();
        return new Room(
                Math.max(declared.cpuMillis(), Math.min(measured.cpuMillis(), largest.cpuMillis())),
                Math.max(
                        declared.memoryBytes(),
                        Math.min(measured.memoryBytes(), largest.memoryBytes())),
                declared.accelerators());
    }

    private static Key keyOf(JobSpec spec) {
        return new Key(spec.customer(), spec.command().hashCode());
    }

    private record Key(String customer, int commandHash) {}

    /** Most recent peaks, in a ring buffer and as sorted counts for the percentile. */
    private static final class Samples {
        private final long[] mCpuMillis = new long[MAX_SAMPLES];
        private final long[] mMemoryBytes = new long[MAX_SAMPLES];
        private final TreeMap<Long, Integer> mCpuCounts = new TreeMap<>();
        private final TreeMap<Long, Integer> mMemoryCounts = new TreeMap<>();
        private int mCount;
        private int mNext;

        void add(Room peak) {
            replace(mCpuMillis, mCpuCounts, peak.cpuMillis());
            replace(mMemoryBytes, mMemoryCounts, peak.memoryBytes());
            mNext = (mNext + 1) % MAX_SAMPLES;
            mCount = Math.min(MAX_SAMPLES, mCount + 1);
        }

        private void replace(long[] ring, NavigableMap<Long, Integer> counts, long value) {
            if (mCount == MAX_SAMPLES) {
                counts.computeIfPresent(ring[mNext], (key, count) -> count > 1 ? count - 1 : null);
            }
            ring[mNext] = value;
            counts.merge(value, 1, Integer::sum);
        }

        Room percentile() {
            return new Room(percentile(mCpuCounts), percentile(mMemoryCounts), 0);
        }

        private long percentile(NavigableMap<Long, Integer> counts) {
            int above = mCount * (100 - PERCENTILE) / 100;
            for (Map.Entry<Long, Integer> entry : counts.descendingMap().entrySet()) {
                above -= entry.getValue();
                if (above < 0) {
                    return entry.getKey();
                }
            }
            return 0;
        }
    }
}
