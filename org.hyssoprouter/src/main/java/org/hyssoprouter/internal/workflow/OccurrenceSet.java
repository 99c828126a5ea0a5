package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.List;
import org.roaringbitmap.RoaringBitmap;

/** Set of numbers of occurrences. Takes memory for the gaps between ranges, not for members. */
final class OccurrenceSet {
    /** Number of changes after which the representation is made compact again. */
    private static final int CHANGES_PER_COMPACTION = 1_024;

    private static final int NONE = -1;

    private final RoaringBitmap mNumbers = new RoaringBitmap();
    private int mChanges;

    void add(int number) {
        mNumbers.add(number);
        onChanged();
    }

    void add(WorkflowRow.OccurrenceRange range) {
        if (range.first() >= 0 && range.last() >= range.first()) {
            mNumbers.add(range.first(), range.last() + 1L);
            onChanged();
        }
    }

    void remove(int number) {
        mNumbers.remove(number);
        onChanged();
    }

    private void onChanged() {
        mChanges++;
        if (mChanges % CHANGES_PER_COMPACTION == 0) {
            mNumbers.runOptimize();
        }
    }

    boolean contains(int number) {
        return mNumbers.contains(number);
    }

    /** Returns whether a number of a range is in this set. */
    boolean containsAnyOf(WorkflowRow.OccurrenceRange range) {
        return mNumbers.intersects(range.first(), range.last() + 1L);
    }

    boolean isEmpty() {
        return mNumbers.isEmpty();
    }

    long count() {
        return mNumbers.getLongCardinality();
    }

    /** Returns the lowest number; the set must not be empty. */
    int first() {
        return mNumbers.first();
    }

    /** Returns the lowest number from a position on that is not in this set. */
    long nextAbsent(int from) {
        return mNumbers.nextAbsentValue(from);
    }

    /** Returns the ranges of numbers in this set from a position on, in ascending order. */
    List<WorkflowRow.OccurrenceRange> ranges(int from) {
        List<WorkflowRow.OccurrenceRange> ranges = new ArrayList<>();
        long first = mNumbers.nextValue(from);
        while (first != NONE) {
            long end = mNumbers.nextAbsentValue((int) first);
            ranges.add(new WorkflowRow.OccurrenceRange((int) first, (int) (end - 1)));
            first = end > Integer.MAX_VALUE ? NONE : mNumbers.nextValue((int) end);
        }
        return ranges;
    }
}
