package org.hyssoprouter.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsLoaderTest {
    private static final String VALID_SETTINGS =
            """
            name: entry-1
            region: south
            domain: south-a
            http: 127.0.0.1:8080
            peer: "[::1]:9090"
            platform: 127.0.0.1:7070
            operatorToken: not-a-secret
            """;

    @Test
    void fillsInDefaults() {
        DaemonSettings settings = SettingsLoader.parse("f", VALID_SETTINGS).get();
        assertEquals("entry-1", settings.name());
        assertEquals(new IpPort("::1", 9090), settings.peer());
        assertEquals(1_000, settings.timing().pollMillis());
        assertEquals(4_194_304, settings.limits().maxBodyBytes());
        assertFalse(settings.toString().contains("not-a-secret"));
    }

    @Test
    void reportsEveryErrorWithItsLine() {
        String text =
                """
                name: entry 1
                region: south
                http: localhost:8080
                peer: 127.0.0.1:99999
                platform: 127.0.0.1:7070
                operatorToken: not-a-secret
                pollMilis: 1
                groupMillis: -5
                drainSeconds: [1]
                region: north
                """;
        assertEquals(
                List.of(
                        "f:7: pollMilis: is not a known key",
                        "f:9: drainSeconds: expected a single value",
                        "f:10: region: is given twice",
                        "f:1: name: expected 1 to 64 letters, digits, '.', '_' or '-'",
                        "f: domain: is missing; expected 1 to 64 letters, digits, '.', '_' or '-'",
                        "f:3: http: expected an IP address and a port, such as 10.0.0.7:8080",
                        "f:4: peer: expected an IP address and a port, such as 10.0.0.7:8080",
                        "f:8: groupMillis: expected a whole number from 1 to 1000"),
                errorsOf(text));
    }

    @Test
    void rejectsTimesThatAllowTwoActingOwners() {
        assertEquals(
                List.of("f: confirmMillis: expected at most half of deadAfterMillis"),
                errorsOf(VALID_SETTINGS + "deadAfterMillis: 3999\n"));
        assertEquals(
                List.of("f:8: confirmMillis: expected a whole number from 100 to 2000"),
                errorsOf(VALID_SETTINGS + "confirmMillis: 2001\n"));
    }

    @Test
    void reportsInvalidYamlAndUnreadableFiles() {
        assertEquals("f", SettingsLoader.parse("f", "a: [1").getLeft().get(0).file());
        assertEquals(1, SettingsLoader.parse("f", "").getLeft().size());
        assertEquals(1, SettingsLoader.load(Path.of("no-such-file.yaml")).getLeft().size());
    }

    private static List<String> errorsOf(String text) {
        return SettingsLoader.parse("f", text).getLeft().stream()
                .map(SettingsError::toString)
                .toList();
    }
}
