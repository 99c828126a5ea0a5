package org.hyssoprouter.internal.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.ConfigDocument.Customer;
import org.hyssoprouter.internal.config.ConfigDocument.Defaults;
import org.hyssoprouter.internal.config.ConfigDocument.PolicyOverride;
import org.hyssoprouter.internal.config.ConfigDocument.Scope;
import org.hyssoprouter.lib.Room;
import org.jspecify.annotations.Nullable;

/**
 * Validates a {@link ConfigDocument} and reports all errors at once.
 *
 * @since 0.1
 */
public final class ConfigValidator {
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_QUEUED_REQUESTS = 1_000_000;
    private static final int MAX_REQUESTS_PER_SECOND = 1_000_000;
    private static final int MAX_PERCENT = 100;
    private static final long MIN_KEY_RETENTION_MILLIS = 1_000;
    private static final long MAX_KEY_RETENTION_MILLIS = 7L * 24 * 3_600 * 1_000;
    private static final long MAX_REQUEST_TIMEOUT_MILLIS = 600_000;

    private final List<Refusal> mErrors = new ArrayList<>();

    private ConfigValidator() {}

    /** Returns one refusal per invalid field; empty if the document is valid. */
    public static List<Refusal> validate(ConfigDocument document) {
        ConfigValidator validator = new ConfigValidator();
        validator.checkDocument(document);
        return List.copyOf(validator.mErrors);
    }

    // Fields read from JSON may be null although the records declare them non-null.
    private void checkDocument(ConfigDocument document) {
        requireText("author", document.author());
        require(document.version() >= 0, "version", "must not be negative");
        Defaults defaults = document.defaults();
        if (require(isPresent(defaults), "defaults", "is missing")) {
            checkDefaults(defaults);
        }
        if (require(
                isPresent(document.customers()),
                "customers",
                "is missing; expected a list, which may be empty")) {
            checkCustomers(document.customers());
        }
        if (require(
                isPresent(document.exceptions()),
                "exceptions",
                "is missing; expected a list, which may be empty")) {
            checkOverrides(document);
        }
    }

    private void checkDefaults(Defaults defaults) {
        if (require(isPresent(defaults.quota()), "defaults.quota", "is missing")) {
            requireNonNegative("defaults.quota", defaults.quota());
        }
        checkRanges(
                "defaults",
                defaults.weight(),
                defaults.maxQueuedRequests(),
                defaults.requestsPerSecond(),
                defaults.bulkSharePercent(),
                defaults.retryBudgetPercent(),
                defaults.keyRetentionMillis(),
                defaults.requestTimeoutMillis());
    }

    private void checkRanges(
            String path,
            @Nullable Integer weight,
            @Nullable Integer maxQueuedRequests,
            @Nullable Integer requestsPerSecond,
            @Nullable Integer bulkSharePercent,
            @Nullable Integer retryBudgetPercent,
            @Nullable Long keyRetentionMillis,
            @Nullable Long requestTimeoutMillis) {
        requireInRange(path + ".weight", weight, 1, MAX_WEIGHT);
        requireInRange(path + ".maxQueuedRequests", maxQueuedRequests, 1, MAX_QUEUED_REQUESTS);
        requireInRange(path + ".requestsPerSecond", requestsPerSecond, 1, MAX_REQUESTS_PER_SECOND);
        requireInRange(path + ".bulkSharePercent", bulkSharePercent, 1, MAX_PERCENT);
        requireInRange(path + ".retryBudgetPercent", retryBudgetPercent, 0, MAX_PERCENT);
        requireInRange(
                path + ".keyRetentionMillis",
                keyRetentionMillis,
                MIN_KEY_RETENTION_MILLIS,
                MAX_KEY_RETENTION_MILLIS);
        requireInRange(
                path + ".requestTimeoutMillis",
                requestTimeoutMillis,
                1,
                MAX_REQUEST_TIMEOUT_MILLIS);
    }

    private void checkCustomers(List<Customer> customers) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < customers.size(); i++) {
            String path = "customers[" + i + "]";
            Customer customer = customers.get(i);
            if (!require(isPresent(customer), path, "must not be null")) {
                continue;
            }
            requireText(path + ".name", customer.name());
            requireText(path + ".homeRegion", customer.homeRegion());
            require(names.add(customer.name()), path + ".name", "is listed twice");
        }
    }

    private void checkOverrides(ConfigDocument document) {
        Set<String> subjects = new HashSet<>();
        List<PolicyOverride> overrides = document.exceptions();
        for (int i = 0; i < overrides.size(); i++) {
            String path = "exceptions[" + i + "]";
            PolicyOverride override = overrides.get(i);
            if (!require(isPresent(override), path, "must not be null")) {
                continue;
            }
            checkOverride(path, override, document.customers());
            require(
                    subjects.add(override.scope() + " " + override.subject()),
                    path + ".subject",
                    "has two exceptions of the same scope; merge them into one");
        }
    }

    private void checkOverride(
            String path, PolicyOverride override, @Nullable List<Customer> customers) {
        requireText(path + ".reason", override.reason());
        requireText(path + ".subject", override.subject());
        require(isPresent(override.scope()), path + ".scope", "must be REGION or CUSTOMER");
        Room quota = override.quota();
        if (quota != null) {
            requireNonNegative(path + ".quota", quota);
        }
        checkRanges(
                path,
                override.weight(),
                override.maxQueuedRequests(),
                override.requestsPerSecond(),
                override.bulkSharePercent(),
                override.retryBudgetPercent(),
                override.keyRetentionMillis(),
                override.requestTimeoutMillis());
        require(hasOverriddenField(override), path, "must override at least one field");
        require(
                matchesCustomer(override, customers),
                path + ".subject",
                "must match the name (CUSTOMER) or the home region (REGION) of"
                        + " a listed customer");
    }

    private static boolean hasOverriddenField(PolicyOverride override) {
        return override.weight() != null
                || override.quota() != null
                || override.maxQueuedRequests() != null
                || override.requestsPerSecond() != null
                || override.bulkSharePercent() != null
                || override.retryBudgetPercent() != null
                || override.keyRetentionMillis() != null
                || override.requestTimeoutMillis() != null;
    }

    private static boolean matchesCustomer(
            PolicyOverride override, @Nullable List<Customer> customers) {
        if (customers == null || !isPresent(override.subject())) {
            return true;
        }
        for (Customer customer : customers) {
            if (!isPresent(customer)) {
                continue;
            }
            boolean isCustomerScope = override.scope() == Scope.CUSTOMER;
            String name = isCustomerScope ? customer.name() : customer.homeRegion();
            if (override.subject().equals(name)) {
                return true;
            }
        }
        return false;
    }

    private void requireNonNegative(String path, Room quota) {
        require(!quota.isNegative(), path, "must not be negative in any component");
    }

    private void requireText(String path, @Nullable String value) {
        require(value != null && !value.isBlank(), path, "must not be missing or blank");
    }

    private void requireInRange(String path, @Nullable Number value, long min, long max) {
        if (value == null) {
            return;
        }
        long number = value.longValue();
        require(number >= min && number <= max, path, "must be between " + min + " and " + max);
    }

    private boolean require(boolean isValid, String path, String expectation) {
        if (!isValid) {
            mErrors.add(Refusal.invalidField(path, expectation));
        }
        return isValid;
    }

    private static boolean isPresent(@Nullable Object value) {
        return value != null;
    }
}
