package org.hyssoprouter.internal.config;

import io.vavr.control.Option;
import java.util.List;

/**
 * One version of the configuration, with the policy of each customer resolved. Immutable.
 *
 * @since 0.1
 */
public interface EffectiveConfig {
    /** Returns the version, which is greater than 0. */
    long version();

    /** Returns the policy of a customer, or none if the customer is unknown. */
    Option<CustomerPolicy> policyOf(String name);

    /** Returns the names of all customers. */
    List<String> customerNames();
}
