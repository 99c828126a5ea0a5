package org.hyssoprouter.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads input files; the name {@code -} denotes standard input. Documents are parsed as YAML, which
 * includes JSON.
 */
final class InputFile {
    private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());
    private static final String STANDARD_INPUT = "-";

    private InputFile() {}

    static Either<CliError, JsonNode> readDocument(String name) {
        return readText(name).flatMap(text -> parse(name, text));
    }

    static Either<CliError, String> readText(String name) {
        try {
            if (name.equals(STANDARD_INPUT)) {
                return Either.right(new String(System.in.readAllBytes(), StandardCharsets.UTF_8));
            }
            return Either.right(Files.readString(Path.of(name)));
        } catch (IOException e) {
            String reason = e.getClass().getSimpleName();
            String message = Messages.format("file.unreadable", name, reason);
            return Either.left(CliError.of(ExitCode.USAGE, message, "hint.usage"));
        }
    }

    private static Either<CliError, JsonNode> parse(String name, String text) {
        try {
            return Either.right(YAML.readTree(text));
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage();
            String message = Messages.format("file.malformed", name, reason);
            return Either.left(CliError.of(ExitCode.USAGE, message, "hint.usage"));
        }
    }
}
