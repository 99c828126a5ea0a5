package org.hyssoprouter.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reads and validates a settings file, reporting all errors at once.
 *
 * @since 0.1
 */
public final class SettingsLoader {
    private static final String NAME_PATTERN = "[A-Za-z0-9._-]{1,64}";
    private static final int MIN_TOKEN_LENGTH = 8;

    private final String mFile;
    private final List<SettingsError> mErrors = new ArrayList<>();
    private final Map<Setting, Entry> mEntries = new HashMap<>();

    private SettingsLoader(String file) {
        mFile = file;
    }

    private record Entry(String text, int line, boolean isNumber) {}

    /** Reads the file at {@code path}; returns its settings or all errors found. */
    public static Either<List<SettingsError>, DaemonSettings> load(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            String reason = "cannot be read: " + e.getClass().getSimpleName();
            return Either.left(List.of(new SettingsError(path.toString(), 0, "", reason)));
        }
        return parse(path.toString(), text);
    }

    /**
     * Parses settings from a string.
     *
     * @param file name of the file for error messages
     * @param text its content in YAML
     */
    public static Either<List<SettingsError>, DaemonSettings> parse(String file, String text) {
        SettingsLoader loader = new SettingsLoader(file);
        boolean fullyParsed = loader.readEntries(text);
        loader.checkEntries(fullyParsed);
        if (!loader.mErrors.isEmpty()) {
            return Either.left(List.copyOf(loader.mErrors));
        }
        return Either.right(loader.build());
    }

    private boolean readEntries(String text) {
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                addError(1, "", "expected key-value pairs, one per line");
                return false;
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                readEntry(parser);
            }
            return true;
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            addError(
                    line,
                    "",
                    "is not valid YAML: " + e.getOriginalMessage().lines().findFirst().orElse(""));
            return false;
        } catch (IOException e) {
            addError(0, "", "cannot be read: " + e.getMessage());
            return false;
        }
    }

    private void readEntry(JsonParser parser) throws IOException {
        String key = parser.currentName();
        int line = parser.currentTokenLocation().getLineNr();
        JsonToken token = parser.nextToken();
        Setting setting = findSetting(key, line);
        if (token == null || token.isStructStart()) {
            addError(line, key, "expected a single value");
            parser.skipChildren();
            return;
        }
        if (setting == null) {
            return;
        }
        if (mEntries.containsKey(setting)) {
            addError(line, key, "is given twice");
            return;
        }
        boolean isNumber = token == JsonToken.VALUE_NUMBER_INT;
        String value = token == JsonToken.VALUE_NULL ? "" : parser.getText();
        mEntries.put(setting, new Entry(value, line, isNumber));
    }

    private @Nullable Setting findSetting(String key, int line) {
        for (Setting setting : Setting.values()) {
            if (setting.key().equals(key)) {
                return setting;
            }
        }
        addError(line, key, "is not a known key");
        return null;
    }

    private void checkEntries(boolean fullyParsed) {
        for (Setting setting : Setting.values()) {
            Entry entry = mEntries.get(setting);
            if (entry != null) {
                checkValue(setting, entry);
            } else if (setting.isRequired() && fullyParsed) {
                addError(0, setting.key(), "is missing; " + setting.expectation());
            }
        }
        if (mErrors.isEmpty()) {
            checkDependencies();
        }
    }

    private void checkValue(Setting setting, Entry entry) {
        boolean isValid =
                switch (setting.kind()) {
                    case NAME -> entry.text().matches(NAME_PATTERN);
                    case ADDRESS -> IpPort.parse(entry.text()).isDefined();
                    case TOKEN -> entry.text().length() >= MIN_TOKEN_LENGTH;
                    case NUMBER -> entry.isNumber() && isInRange(setting, entry.text());
                };
        if (!isValid) {
            addError(entry.line(), setting.key(), setting.expectation());
        }
    }

    private static boolean isInRange(Setting setting, String text) {
        try {
            return setting.isInRange(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return false;
        }
    }

    // An owner may act for confirmMillis after a confirmation, so other daemons must not consider
    // it dead within that time.
    private void checkDependencies() {
        if (number(Setting.CONFIRM_MILLIS) * 2 > number(Setting.DEAD_AFTER_MILLIS)) {
            addError(
                    lineOf(Setting.CONFIRM_MILLIS),
                    Setting.CONFIRM_MILLIS.key(),
                    "expected at most half of deadAfterMillis");
        }
        if (number(Setting.POLL_MILLIS) >= number(Setting.CONFIRM_MILLIS)) {
            addError(
                    lineOf(Setting.POLL_MILLIS),
                    Setting.POLL_MILLIS.key(),
                    "expected less than confirmMillis");
        }
        if (number(Setting.BALANCER_SECONDS) >= number(Setting.DRAIN_SECONDS)) {
            addError(
                    lineOf(Setting.BALANCER_SECONDS),
                    Setting.BALANCER_SECONDS.key(),
                    "expected less than drainSeconds");
        }
    }

    private DaemonSettings build() {
        return new DaemonSettings(
                text(Setting.NAME),
                text(Setting.REGION),
                text(Setting.DOMAIN),
                address(Setting.HTTP),
                address(Setting.PEER),
                address(Setting.PLATFORM),
                text(Setting.OPERATOR_TOKEN),
                new DaemonSettings.Timing(
                        number(Setting.POLL_MILLIS),
                        number(Setting.DEAD_AFTER_MILLIS),
                        number(Setting.CONFIRM_MILLIS),
                        number(Setting.GROUP_MILLIS),
                        number(Setting.PLATFORM_TIMEOUT_MILLIS),
                        number(Setting.WORKER_TIMEOUT_MILLIS),
                        (int) number(Setting.BALANCER_SECONDS),
                        (int) number(Setting.DRAIN_SECONDS)),
                new DaemonSettings.Limits(
                        (int) number(Setting.TABLE_WRITES_PER_SECOND),
                        number(Setting.REGION_LINK_BYTES_PER_SECOND),
                        (int) number(Setting.MAX_BODY_BYTES),
                        (int) number(Setting.HTTP_THREADS)));
    }

    private String text(Setting setting) {
        Entry entry = mEntries.get(setting);
        return entry == null ? "" : entry.text();
    }

    private IpPort address(Setting setting) {
        return IpPort.parse(text(setting)).get();
    }

    private long number(Setting setting) {
        Entry entry = mEntries.get(setting);
        return entry == null ? setting.defaultValue() : Long.parseLong(entry.text());
    }

    private int lineOf(Setting setting) {
        Entry entry = mEntries.get(setting);
        return entry == null ? 0 : entry.line();
    }

    private void addError(int line, String key, String expectation) {
        mErrors.add(new SettingsError(mFile, line, key, expectation));
    }
}
