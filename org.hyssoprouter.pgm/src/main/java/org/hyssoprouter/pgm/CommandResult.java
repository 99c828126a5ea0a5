package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Result of a command.
 *
 * @param json the whole result
 * @param columns columns of its table; empty shows the result as YAML
 * @param exitCode exit code
 */
record CommandResult(JsonNode json, List<Column> columns, ExitCode exitCode) {}
