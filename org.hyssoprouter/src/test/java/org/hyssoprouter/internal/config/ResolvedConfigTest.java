package org.hyssoprouter.internal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.junit.jupiter.api.Test;

class ResolvedConfigTest {
    @Test
    void customerOverrideTakesPrecedenceOverRegionInAnyOrder() {
        PolicyOverride region = ConfigFixture.weightOverride(Scope.REGION, "uva", 2);
        PolicyOverride customer = ConfigFixture.weightOverride(Scope.CUSTOMER, "guild", 3);
        assertEquals(3, weightOf("guild", region, customer));
        assertEquals(3, weightOf("guild", customer, region));
        assertEquals(2, weightOf("guild", region));
        assertEquals(1, weightOf("cymru", region, customer));
    }

    @Test
    void unknownCustomerHasNoPolicy() {
        ResolvedConfig config = new ResolvedConfig(ConfigFixture.document(1));
        assertTrue(config.policyOf("nobody").isEmpty());
    }

    private static int weightOf(String customer, PolicyOverride... overrides) {
        ResolvedConfig config = new ResolvedConfig(ConfigFixture.document(1, overrides));
        return config.policyOf(customer).get().weight();
    }
}
