package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/**
 * Result of a successful command.
 *
 * @param json complete result
 * @param columns columns of the printed table; if empty, the result is printed as YAML
 * @param exitCode exit code of the process
 */
record CommandResult(JsonNode json, List<Column> columns, ExitCode exitCode) {}
