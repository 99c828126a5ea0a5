package org.hyssoprouter.internal.workflow;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides what is known of the occurrences of a workflow into parts: which of them have ended, and
 * which steps are done in the others. A part stands for a range of occurrences of fixed length. All
 * that is said of an occurrence is in one part, so that it changes at once; only the first part
 * also stands for the ranges after it that have ended as a whole.
 */
final class ProgressParts {
    /** Number of occurrences in a part of a workflow with few steps. */
    private static final int OCCURRENCES_PER_PART = 1_024;

    private static final String PREFIX = "p";

    private final int mOccurrencesPerPart;
    private final TreeMap<Integer, Content> mParts = new TreeMap<>();

    /** What a part holds. */
    private static final class Content {
        private final List<WorkflowRow.OccurrenceRange> mEnded = new ArrayList<>();
        private final List<WorkflowRow.DoneSteps> mDoneSteps = new ArrayList<>();
    }

    private ProgressParts(int stepCount) {
        mOccurrencesPerPart = Math.max(1, OCCURRENCES_PER_PART / (1 + stepCount / Long.SIZE));
    }

    /** Returns the parts by name. */
    static Map<String, WorkflowPartRow> of(Occurrences occurrences, int stepCount) {
        ProgressParts parts = new ProgressParts(stepCount);
        parts.addEnded(occurrences.ended());
        occurrences.doneSteps().forEach(parts::addDoneSteps);
        Map<String, WorkflowPartRow> rows = new LinkedHashMap<>();
        parts.mParts.forEach(
                (number, content) ->
                        rows.put(
                                PREFIX + number,
                                new WorkflowPartRow(
                                        List.of(), content.mEnded, content.mDoneSteps)));
        return rows;
    }

    private void addEnded(OccurrenceSet ended) {
        int prefixEnd = (int) (ended.nextAbsent(0) / mOccurrencesPerPart * mOccurrencesPerPart);
        if (prefixEnd > 0) {
            part(0).mEnded.add(new WorkflowRow.OccurrenceRange(0, prefixEnd - 1));
        }
        for (WorkflowRow.OccurrenceRange range : ended.ranges(prefixEnd)) {
            split(range).forEach(it -> part(numberOf(it)).mEnded.add(it));
        }
    }

    private void addDoneSteps(WorkflowRow.DoneSteps row) {
        split(row.occurrences())
                .forEach(
                        it ->
                                part(numberOf(it))
                                        .mDoneSteps
                                        .add(new WorkflowRow.DoneSteps(it, row.steps())));
    }

    private Content part(int number) {
        return mParts.computeIfAbsent(number, it -> new Content());
    }

    private int numberOf(WorkflowRow.OccurrenceRange range) {
        return range.first() / mOccurrencesPerPart;
    }

    /** Splits a range where parts end. */
    private List<WorkflowRow.OccurrenceRange> split(WorkflowRow.OccurrenceRange range) {
        List<WorkflowRow.OccurrenceRange> ranges = new ArrayList<>();
        long first = range.first();
        while (first <= range.last()) {
            long partEnd = (first / mOccurrencesPerPart + 1) * mOccurrencesPerPart;
            long last = Math.min(range.last(), partEnd - 1);
            ranges.add(new WorkflowRow.OccurrenceRange((int) first, (int) last));
            first = last + 1;
        }
        return ranges;
    }
}
