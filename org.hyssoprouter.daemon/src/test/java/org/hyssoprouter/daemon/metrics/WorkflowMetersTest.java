package org.hyssoprouter.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class WorkflowMetersTest {
    private static final Path METRICS_PAGE = Path.of("..", "docs", "METRICS.md");
    private static final String SECTION = "## On the users' platform";
    private static final Pattern SAMPLE =
            Pattern.compile("(hyssop_\\w+?(?:_total|_seconds(?=_bucket)))\\w*(?:\\{(.*)})? \\S+");
    private static final Pattern LABEL = Pattern.compile("(\\w+)=\"");
    private static final Pattern ROW = Pattern.compile("\\| `(hyssop_\\w+)` \\| ?([^|]*)\\|.*");

    // Guards against a meter or label that operators do not find on the page.
    @Test
    void documentationListsExactlyTheMetersAndLabelsOfTheCode() throws Exception {
        WorkflowMeters meters = new WorkflowMeters();
        for (Method method : WorkflowMeters.class.getDeclaredMethods()) {
            if (method.getName().matches("(record|count)[A-Z].*")) {
                Object[] values =
                        Stream.of(method.getParameterTypes())
                                .map(WorkflowMetersTest::exampleOf)
                                .toArray();
                method.invoke(meters, values);
            }
        }
        Map<String, Set<String>> expected = new TreeMap<>();
        for (String line : meters.scrape().lines().toList()) {
            Matcher sample = SAMPLE.matcher(line);
            if (sample.matches()) {
                expected.put(sample.group(1), labelsOf(sample.group(2)));
            }
        }
        assertEquals(expected, documented());
    }

    private static Object exampleOf(Class<?> type) {
        if (type == String.class) {
            return "x";
        }
        if (type == boolean.class) {
            return true;
        }
        return type == int.class ? (Object) 1 : (Object) 1L;
    }

    private static Set<String> labelsOf(String sample) {
        Set<String> labels = new TreeSet<>();
        Matcher label = LABEL.matcher(sample == null ? "" : sample);
        while (label.find()) {
            labels.add(label.group(1));
        }
        labels.remove("le");
        return labels;
    }

    private static Map<String, Set<String>> documented() throws IOException {
        String page = Files.readString(METRICS_PAGE);
        Map<String, Set<String>> documented = new TreeMap<>();
        for (String line : page.substring(page.indexOf(SECTION)).lines().toList()) {
            Matcher row = ROW.matcher(line);
            if (row.matches()) {
                String names = row.group(2).replaceAll("\\([^)]*\\)", "");
                Set<String> labels = new TreeSet<>(Arrays.asList(names.trim().split("\\s*,\\s*")));
                labels.remove("");
                documented.put(row.group(1), labels);
            }
        }
        return documented;
    }
}
