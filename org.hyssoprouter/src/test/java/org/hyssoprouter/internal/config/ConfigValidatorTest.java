package org.hyssoprouter.internal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.hyssoprouter.lib.Room;
import org.junit.jupiter.api.Test;

class ConfigValidatorTest {
    @Test
    void acceptsValidDocument() {
        ConfigDocument document =
                ConfigFixture.document(1, ConfigFixture.weightOverride(Scope.CUSTOMER, "guild", 3));
        assertEquals(List.of(), ConfigValidator.validate(document));
    }

    @Test
    void reportsAllErrorsAtOnce() {
        PolicyOverride invalid =
                new PolicyOverride(
                        Scope.CUSTOMER,
                        "nobody",
                        " ",
                        0,
                        new Room(-1, 0, 0),
                        null,
                        null,
                        101,
                        null,
                        null,
                        null);
        PolicyOverride empty =
                new PolicyOverride(
                        Scope.REGION, "uva", "r", null, null, null, null, null, null, null, null);
        List<String> fields =
                ConfigValidator.validate(ConfigFixture.document(-1, invalid, empty)).stream()
                        .map(Refusal::field)
                        .toList();
        assertEquals(
                List.of(
                        "version",
                        "exceptions[0].reason",
                        "exceptions[0].quota",
                        "exceptions[0].weight",
                        "exceptions[0].bulkSharePercent",
                        "exceptions[0].subject",
                        "exceptions[1]"),
                fields);
    }

    @Test
    void rejectsTwoOverridesOfOneSubject() {
        PolicyOverride override = ConfigFixture.weightOverride(Scope.REGION, "uva", 2);
        List<Refusal> errors =
                ConfigValidator.validate(ConfigFixture.document(1, override, override));
        assertEquals("exceptions[1].subject", errors.get(0).field());
    }
}
