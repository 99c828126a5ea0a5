package org.hyssoprouter.internal.config;

import java.util.List;
import org.hyssoprouter.internal.config.ConfigDocument.Customer;
import org.hyssoprouter.internal.config.ConfigDocument.Defaults;
import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.hyssoprouter.lib.Room;

/** Creates configuration documents for tests. */
final class ConfigFixture {
    private ConfigFixture() {}

    static ConfigDocument document(long version, PolicyOverride... overrides) {
        return new ConfigDocument(
                version,
                "ana",
                0,
                new Defaults(1, new Room(64_000, 1L << 38, 4), 100, 500, 60, 10, 60_000, 2_000),
                List.of(new Customer("cymru", "south"), new Customer("guild", "uva")),
                List.of(overrides));
    }

    static PolicyOverride weightOverride(Scope scope, String subject, int weight) {
        return new PolicyOverride(
                scope, subject, "season", weight, null, null, null, null, null, null, null);
    }
}
