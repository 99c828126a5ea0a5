package org.hyssoprouter.internal.config;

import io.vavr.control.Option;
import java.util.List;

/**
 * One version of the configuration with defaults and exceptions resolved; immutable.
 *
 * @since 0.1
 */
public interface EffectiveConfig {
    /** Returns the version, above 0. */
    long version();

    /** Returns the policy of a customer, or none for an unknown one. */
    Option<CustomerPolicy> policyOf(String name);

    /** Returns the names of all customers. */
    List<String> customerNames();
}
