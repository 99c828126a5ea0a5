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
 * A checked {@link ConfigDocument} with its exceptions applied to each customer.
 *
 * @since 0.1
 */
public final class ResolvedConfig implements EffectiveConfig {
    private final ConfigDocument mDocument;
    private final Map<String, CustomerPolicy> mPolicies = new TreeMap<>();
    private final List<String> mCustomers;

    /**
     * Resolves a document in which {@link ConfigValidator} found no fault.
     *
     * @param document document in force
     */
    public ResolvedConfig(ConfigDocument document) {
        mDocument = document;
        for (Customer customer : document.customers()) {
            mPolicies.put(customer.name(), resolve(customer, document));
        }
        mCustomers = List.copyOf(mPolicies.keySet());
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
        return mCustomers;
    }

    /** Returns the document that this was resolved from. */
    public ConfigDocument document() {
        return mDocument;
    }

    private static CustomerPolicy resolve(Customer customer, ConfigDocument document) {
        List<PolicyOverride> applying = new ArrayList<>();
        for (PolicyOverride exception : document.exceptions()) {
            if (appliesTo(exception, customer)) {
                applying.add(exception);
            }
        }
        applying.sort(Comparator.comparing(PolicyOverride::scope));
        CustomerPolicy policy = withDefaults(customer, document.defaults());
        for (PolicyOverride exception : applying) {
            policy = override(policy, exception);
        }
        return policy;
    }

    private static boolean appliesTo(PolicyOverride exception, Customer customer) {
        String name = exception.scope() == Scope.CUSTOMER ? customer.name() : customer.homeRegion();
        return exception.subject().equals(name);
    }

    private static CustomerPolicy withDefaults(Customer customer, Defaults defaults) {
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

    private static CustomerPolicy override(CustomerPolicy base, PolicyOverride exception) {
        return new CustomerPolicy(
                base.customer(),
                base.homeRegion(),
                or(exception.weight(), base.weight()),
                or(exception.quota(), base.quota()),
                or(exception.maxQueuedRequests(), base.maxQueuedRequests()),
                or(exception.requestsPerSecond(), base.requestsPerSecond()),
                or(exception.bulkSharePercent(), base.bulkSharePercent()),
                or(exception.retryBudgetPercent(), base.retryBudgetPercent()),
                or(exception.keyRetentionMillis(), base.keyRetentionMillis()),
                or(exception.requestTimeoutMillis(), base.requestTimeoutMillis()));
    }

    private static <T> T or(@Nullable T value, T otherwise) {
        return value == null ? otherwise : value;
    }
}
