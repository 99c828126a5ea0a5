package org.hyssoprouter.bench;

import java.util.List;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.lib.Room;

/** Creates the initial configuration of each cell. */
final class CellConfig {
    /** Customer whose home is the first region. */
    static final String FIRST_CUSTOMER = "starter";

    /** Customer whose home is the last region. */
    static final String SECOND_CUSTOMER = "nightsky";

    private static final int UNREACHED_LIMIT = 100_000;

    private CellConfig() {}

    /** Returns the initial document, with limits high enough that no run reaches them. */
    static ConfigDocument initial(List<String> regions) {
        ConfigDocument.Defaults defaults =
                new ConfigDocument.Defaults(
                        1,
                        new Room(1_000_000, 4_000L << 30, 64),
                        UNREACHED_LIMIT,
                        UNREACHED_LIMIT,
                        50,
                        20,
                        600_000,
                        5_000);
        List<ConfigDocument.Customer> customers =
                List.of(
                        new ConfigDocument.Customer(FIRST_CUSTOMER, regions.get(0)),
                        new ConfigDocument.Customer(
                                SECOND_CUSTOMER, regions.get(regions.size() - 1)));
        return new ConfigDocument(0, "bench", 0, defaults, customers, List.of());
    }
}
