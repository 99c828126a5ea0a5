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
 * Finds all faults of a {@link ConfigDocument} at once.
 *
 * @since 0.1
 */
public final class ConfigValidator {
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_QUEUED = 1_000_000;
    private static final int MAX_RATE = 1_000_000;
    private static final int PERCENT = 100;
    private static final long MIN_RETENTION_MILLIS = 1_000;
    private static final long MAX_RETENTION_MILLIS = 7L * 24 * 3_600 * 1_000;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;

    private final List<Refusal> mFaults = new ArrayList<>();

    private ConfigValidator() {}

    /** Returns every fault, each with its field and what was expected; empty when there is none. */
    public static List<Refusal> validate(ConfigDocument document) {
        ConfigValidator check = new ConfigValidator();
        check.checkDocument(document);
        return List.copyOf(check.mFaults);
    }

    // Fields read from JSON may be null although the records declare them present.
    private void checkDocument(ConfigDocument document) {
        text("author", document.author());
        require(document.version() >= 0, "version", "must not be negative");
        Defaults defaults = document.defaults();
        if (require(isPresent(defaults), "defaults", "is missing")) {
            checkDefaults(defaults);
        }
        if (require(isPresent(document.customers()), "customers", "is missing, may be []")) {
            checkCustomers(document.customers());
        }
        if (require(isPresent(document.exceptions()), "exceptions", "is missing, may be []")) {
            checkExceptions(document);
        }
    }

    private void checkDefaults(Defaults defaults) {
        if (require(isPresent(defaults.quota()), "defaults.quota", "is missing")) {
            quota("defaults.quota", defaults.quota());
        }
        checkValues(
                "defaults",
                defaults.weight(),
                defaults.maxQueuedRequests(),
                defaults.requestsPerSecond(),
                defaults.bulkSharePercent(),
                defaults.retryBudgetPercent(),
                defaults.keyRetentionMillis(),
                defaults.requestTimeoutMillis());
    }

    private void checkValues(
            String path,
            @Nullable Integer weight,
            @Nullable Integer maxQueued,
            @Nullable Integer rate,
            @Nullable Integer bulkShare,
            @Nullable Integer retryBudget,
            @Nullable Long retentionMillis,
            @Nullable Long timeoutMillis) {
        range(path + ".weight", weight, 1, MAX_WEIGHT);
        range(path + ".maxQueuedRequests", maxQueued, 1, MAX_QUEUED);
        range(path + ".requestsPerSecond", rate, 1, MAX_RATE);
        range(path + ".bulkSharePercent", bulkShare, 1, PERCENT);
        range(path + ".retryBudgetPercent", retryBudget, 0, PERCENT);
        range(
                path + ".keyRetentionMillis",
                retentionMillis,
                MIN_RETENTION_MILLIS,
                MAX_RETENTION_MILLIS);
        range(path + ".requestTimeoutMillis", timeoutMillis, 1, MAX_TIMEOUT_MILLIS);
    }

    private void checkCustomers(List<Customer> customers) {
        Set<String> names = new HashSet<>();
        for (int i = 0; i < customers.size(); i++) {
            String path = "customers[" + i + "]";
            Customer customer = customers.get(i);
            if (!require(isPresent(customer), path, "must not be null")) {
                continue;
            }
            text(path + ".name", customer.name());
            text(path + ".homeRegion", customer.homeRegion());
            require(names.add(customer.name()), path + ".name", "is listed twice");
        }
    }

    private void checkExceptions(ConfigDocument document) {
        Set<String> subjects = new HashSet<>();
        List<PolicyOverride> exceptions = document.exceptions();
        for (int i = 0; i < exceptions.size(); i++) {
            String path = "exceptions[" + i + "]";
            PolicyOverride exception = exceptions.get(i);
            if (!require(isPresent(exception), path, "must not be null")) {
                continue;
            }
            checkException(path, exception, document.customers());
            require(
                    subjects.add(exception.scope() + " " + exception.subject()),
                    path + ".subject",
                    "has two exceptions of this scope, join them");
        }
    }

    private void checkException(
            String path, PolicyOverride exception, @Nullable List<Customer> customers) {
        text(path + ".reason", exception.reason());
        text(path + ".subject", exception.subject());
        require(isPresent(exception.scope()), path + ".scope", "must be REGION or CUSTOMER");
        Room quota = exception.quota();
        if (quota != null) {
            quota(path + ".quota", quota);
        }
        checkValues(
                path,
                exception.weight(),
                exception.maxQueuedRequests(),
                exception.requestsPerSecond(),
                exception.bulkSharePercent(),
                exception.retryBudgetPercent(),
                exception.keyRetentionMillis(),
                exception.requestTimeoutMillis());
        require(overridesSomething(exception), path, "must override at least one field");
        require(
                namesCustomer(exception, customers),
                path + ".subject",
                "must name a subject of" + " list customers");
    }

    private static boolean overridesSomething(PolicyOverride exception) {
        return exception.weight() != null
                || exception.quota() != null
                || exception.maxQueuedRequests() != null
                || exception.requestsPerSecond() != null
                || exception.bulkSharePercent() != null
                || exception.retryBudgetPercent() != null
                || exception.keyRetentionMillis() != null
                || exception.requestTimeoutMillis() != null;
    }

    private static boolean namesCustomer(
            PolicyOverride exception, @Nullable List<Customer> customers) {
        if (customers == null || !isPresent(exception.subject())) {
            return true;
        }
        for (Customer customer : customers) {
            if (!isPresent(customer)) {
                continue;
            }
            boolean byName = exception.scope() == Scope.CUSTOMER;
            String name = byName ? customer.name() : customer.homeRegion();
            if (exception.subject().equals(name)) {
                return true;
            }
        }
        return false;
    }

    private void quota(String path, Room quota) {
        require(!quota.isNegative(), path, "must not be negative in any component");
    }

    private void text(String path, @Nullable String value) {
        require(value != null && !value.isBlank(), path, "must be a text that is not empty");
    }

    private void range(String path, @Nullable Number value, long min, long max) {
        if (value == null) {
            return;
        }
        long number = value.longValue();
        require(number >= min && number <= max, path, "must be from " + min + " to " + max);
    }

    private boolean require(boolean holds, String path, String expectation) {
        if (!holds) {
            mFaults.add(Refusal.badField(path, expectation));
        }
        return holds;
    }

    private static boolean isPresent(@Nullable Object value) {
        return value != null;
    }
}
