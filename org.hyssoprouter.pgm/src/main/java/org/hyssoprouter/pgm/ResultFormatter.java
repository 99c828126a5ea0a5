package org.hyssoprouter.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import java.util.ArrayList;
import java.util.List;

/** Formats results as tables, YAML or JSON. */
final class ResultFormatter {
    private static final ObjectMapper JSON = new JsonMapper();
    private static final ObjectMapper YAML =
            new ObjectMapper(
                    YAMLFactory.builder()
                            .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                            .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                            .build());
    private static final String COLUMN_SEPARATOR = "  ";

    private ResultFormatter() {}

    static String formatJson(CommandResult result) {
        return write(JSON, result.json()) + "\n";
    }

    static String formatTable(CommandResult result) {
        if (result.columns().isEmpty()) {
            return write(YAML, result.json());
        }
        List<List<String>> lines = new ArrayList<>();
        lines.add(result.columns().stream().map(Column::title).toList());
        if (result.json().isArray()) {
            result.json().forEach(row -> lines.add(formatCells(result.columns(), row)));
        } else {
            lines.add(formatCells(result.columns(), result.json()));
        }
        return alignColumns(lines, result.columns().size());
    }

    private static List<String> formatCells(List<Column> columns, JsonNode row) {
        return columns.stream().map(column -> formatCell(row.at(column.pointer()))).toList();
    }

    private static String formatCell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isArray()) {
            return formatList(value);
        }
        String text = value.isValueNode() ? value.asText() : value.toString();
        return text.isEmpty() ? "-" : text.replaceAll("\\s+", " ");
    }

    // Scalar values are listed; for objects and arrays only the number of elements is shown.
    private static String formatList(JsonNode values) {
        List<String> texts = new ArrayList<>();
        for (JsonNode value : values) {
            if (!value.isValueNode()) {
                return Integer.toString(values.size());
            }
            texts.add(value.asText());
        }
        return texts.isEmpty() ? "-" : String.join(",", texts);
    }

    private static String alignColumns(List<List<String>> lines, int columns) {
        int[] widths = new int[columns];
        for (List<String> line : lines) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], line.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> line : lines) {
            StringBuilder row = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                row.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length()));
                row.append(COLUMN_SEPARATOR);
            }
            text.append(row.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    private static String write(ObjectMapper mapper, JsonNode value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write a parsed document", e);
        }
    }
}
