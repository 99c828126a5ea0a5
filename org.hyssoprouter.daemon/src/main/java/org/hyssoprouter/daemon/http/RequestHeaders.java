package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import io.jooby.Value;
import java.util.Locale;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.RequestOrder;
import org.jspecify.annotations.Nullable;

/** Parses a caller's request from its headers, path and body. */
final class RequestHeaders {
    static final String CUSTOMER = "Hyssop-Customer";
    static final String TRAFFIC_CLASS = "Hyssop-Class";
    static final String TIMEOUT = "Hyssop-Timeout-Millis";
    static final String IDEMPOTENT = "Hyssop-Idempotent";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String CONTENT_TYPE = "Content-Type";

    private static final long MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_KEY_LENGTH = 200;
    private static final String SERVICE_PATTERN = "[A-Za-z0-9._-]{1,128}";

    private RequestHeaders() {}

    /**
     * Parses a call into a request order.
     *
     * @param requestId id of the order
     * @param policy policy of the customer named by the call
     * @throws RefusalException naming the invalid header or path parameter
     */
    static RequestOrder parseOrder(Context context, String requestId, CustomerPolicy policy) {
        rejectForms(context);
        String service = context.path("service").value();
        if (!service.matches(SERVICE_PATTERN)) {
            throw badField("service", "expected 1 to 128 letters, digits, '.', '_' or '-'");
        }
        return new RequestOrder(
                requestId,
                policy.customer(),
                service,
                trafficClass(context),
                timeoutMillis(context, policy),
                idempotent(context),
                idempotencyKey(context),
                context.body().bytes());
    }

    /** Returns the value of a header, or null if the header is absent. */
    static @Nullable String header(Context context, String name) {
        Value value = context.header(name);
        return value.isMissing() ? null : value.value();
    }

    // The HTTP library parses bodies of these types, so they can't be forwarded unchanged.
    private static void rejectForms(Context context) {
        String type = header(context, CONTENT_TYPE);
        if (type == null) {
            return;
        }
        String lower = type.toLowerCase(Locale.ROOT);
        if (lower.startsWith("multipart/") || lower.startsWith("application/x-www-form")) {
            throw badField(CONTENT_TYPE, "expected any type except a form type");
        }
    }

    private static TrafficClass trafficClass(Context context) {
        String text = header(context, TRAFFIC_CLASS);
        if (text == null) {
            return TrafficClass.NORMAL;
        }
        for (TrafficClass candidate : TrafficClass.values()) {
            if (candidate.name().equalsIgnoreCase(text)) {
                return candidate;
            }
        }
        throw badField(TRAFFIC_CLASS, "expected one of urgent, normal, bulk");
    }

    private static long timeoutMillis(Context context, CustomerPolicy policy) {
        String text = header(context, TIMEOUT);
        if (text == null) {
            return policy.requestTimeoutMillis();
        }
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_TIMEOUT_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            throw badField(TIMEOUT, timeoutExpectation());
        }
        throw badField(TIMEOUT, timeoutExpectation());
    }

    private static String timeoutExpectation() {
        return "expected a whole number of milliseconds from 1 to " + MAX_TIMEOUT_MILLIS;
    }

    private static boolean idempotent(Context context) {
        String text = header(context, IDEMPOTENT);
        if (text == null || text.equalsIgnoreCase("false")) {
            return false;
        }
        if (text.equalsIgnoreCase("true")) {
            return true;
        }
        throw badField(IDEMPOTENT, "expected true or false");
    }

    private static @Nullable String idempotencyKey(Context context) {
        String text = header(context, IDEMPOTENCY_KEY);
        if (text == null) {
            return null;
        }
        if (text.isBlank() || text.length() > MAX_KEY_LENGTH) {
            throw badField(IDEMPOTENCY_KEY, "expected 1 to " + MAX_KEY_LENGTH + " characters");
        }
        return text;
    }

    private static RefusalException badField(String field, String expectation) {
        return new RefusalException(Refusal.invalidField(field, expectation));
    }
}
