package org.hyssoprouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Percentiles and aligned rows for people.
 *
 * @since 0.1
 */
public final class ReportFormatter {
    private ReportFormatter() {}

    /** Returns the value at a percentile from 0 to 100, or 0 of an empty list. */
    public static long percentile(List<Long> values, double percent) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return sorted.get(Math.max(0, rank - 1));
    }

    /** Returns {@code p50 A ms, p99 B ms}. */
    public static String formatMedianAndP99(List<Long> millis) {
        return String.format(
                Locale.ROOT,
                "p50 %d ms, p99 %d ms",
                percentile(millis, 50),
                percentile(millis, 99));
    }

    /** Prints a row of a table. */
    public static void printRow(PrintStream out, String name, Object value) {
        out.printf(Locale.ROOT, "  %-34s %s%n", name, value);
    }
}
