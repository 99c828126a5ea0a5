package org.hyssoprouter.internal.config;

import java.util.List;
import org.hyssoprouter.internal.config.ConfigDocument.Customer;
import org.hyssoprouter.internal.config.ConfigDocument.Defaults;
import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.hyssoprouter.lib.Room;

/** Documents for tests. */
final class ConfigFixture {
    private ConfigFixture() {}

    static ConfigDocument document(long version, PolicyOverride... exceptions) {
        return new ConfigDocument(
                version,
                "ana",
                0,
                new Defaults(1, new Room(64_000, 1L << 38, 4), 100, 500, 60, 10, 60_000, 2_000),
                List.of(new Customer("cymru", "south"), new Customer("guild", "uva")),
                List.of(exceptions));
    }

    static PolicyOverride weight(Scope scope, String subject, int weight) {
        return new PolicyOverride(
                scope, subject, "season", weight, null, null, null, null, null, null, null);
    }
}
