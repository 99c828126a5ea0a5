package org.hyssoprouter.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Computes percentiles and prints aligned report rows.
 *
 * @since 0.1
 */
public final class ReportFormatter {
    private ReportFormatter() {}

    /** Returns the value at a percentile from 0 to 100, or 0 if the list is empty. */
    public static long percentile(List<Long> values, double percent) {
        if (values.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int rank = (int) Math.ceil(percent / 100 * sorted.size());
        return sorted.get(Math.max(0, rank - 1));
    }

    /** Formats durations in milliseconds as {@code p50 A ms, p99 B ms}. */
    public static String formatMedianAndP99(List<Long> millis) {
        return String.format(
                Locale.ROOT,
                "p50 %d ms, p99 %d ms",
                percentile(millis, 50),
                percentile(millis, 99));
    }

    /** Prints a name and a value as one aligned row. */
    public static void printRow(PrintStream out, String name, Object value) {
        out.printf(Locale.ROOT, "  %-34s %s%n", name, value);
    }
}
