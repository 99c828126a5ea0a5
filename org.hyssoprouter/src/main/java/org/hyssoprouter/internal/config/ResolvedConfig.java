package org.hyssoprouter.internal.config;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssoprouter.internal.config.ConfigDocument.Customer;
import org.hyssoprouter.internal.config.ConfigDocument.Defaults;
import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.jspecify.annotations.Nullable;

/**
 * Resolves a valid {@link ConfigDocument} into one policy per customer.
 *
 * @since 0.1
 */
public final class ResolvedConfig implements EffectiveConfig {
    private final ConfigDocument mDocument;
    private final Map<String, CustomerPolicy> mPolicies = new TreeMap<>();
    private final List<String> mCustomerNames;

    /**
     * Resolves a document that {@link ConfigValidator} accepts.
     *
     * @param document valid document
     */
    public ResolvedConfig(ConfigDocument document) {
        mDocument = document;
        for (Customer customer : document.customers()) {
            mPolicies.put(customer.name(), resolve(customer, document));
        }
        mCustomerNames = List.copyOf(mPolicies.keySet());
    }

    @Override
    public long version() {
        return mDocument.version();
    }

    @Override
    public Option<CustomerPolicy> policyOf(String name) {
        return Option.of(mPolicies.get(name));
    }

    @Override
    public List<String> customerNames() {
        return mCustomerNames;
    }

    /** Returns the document from which the policies were resolved. */
    public ConfigDocument document() {
        return mDocument;
    }

    private static CustomerPolicy resolve(Customer customer, ConfigDocument document) {
        List<PolicyOverride> overrides = new ArrayList<>();
        for (PolicyOverride override : document.exceptions()) {
            if (appliesTo(override, customer)) {
                overrides.add(override);
            }
        }
        overrides.sort(Comparator.comparing(PolicyOverride::scope));
        CustomerPolicy policy = defaultPolicy(customer, document.defaults());
        for (PolicyOverride override : overrides) {
            policy = applyOverride(policy, override);
        }
        return policy;
    }

    private static boolean appliesTo(PolicyOverride override, Customer customer) {
        String name = override.scope() == Scope.CUSTOMER ? customer.name() : customer.homeRegion();
        return override.subject().equals(name);
    }

    private static CustomerPolicy defaultPolicy(Customer customer, Defaults defaults) {
        return new CustomerPolicy(
                customer.name(),
                customer.homeRegion(),
                defaults.weight(),
                defaults.quota(),
                defaults.maxQueuedRequests(),
                defaults.requestsPerSecond(),
                defaults.bulkSharePercent(),
                defaults.retryBudgetPercent(),
                defaults.keyRetentionMillis(),
                defaults.requestTimeoutMillis());
    }

    private static CustomerPolicy applyOverride(CustomerPolicy base, PolicyOverride override) {
        return new CustomerPolicy(
                base.customer(),
                base.homeRegion(),
                orElse(override.weight(), base.weight()),
                orElse(override.quota(), base.quota()),
                orElse(override.maxQueuedRequests(), base.maxQueuedRequests()),
                orElse(override.requestsPerSecond(), base.requestsPerSecond()),
                orElse(override.bulkSharePercent(), base.bulkSharePercent()),
                orElse(override.retryBudgetPercent(), base.retryBudgetPercent()),
                orElse(override.keyRetentionMillis(), base.keyRetentionMillis()),
                orElse(override.requestTimeoutMillis(), base.requestTimeoutMillis()));
    }

    private static <T> T orElse(@Nullable T value, T fallback) {
        return value == null ? fallback : value;
    }
}
