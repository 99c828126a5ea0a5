package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestReply;

/** Writes HTTP responses: JSON values, refusals and executor replies, with their headers. */
final class ResponseWriter {
    private static final String VERDICT_HEADER = "Hyssop-Verdict";
    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final String JSON_TYPE = "application/json";
    private static final String BYTES_TYPE = "application/octet-stream";
    private static final long MILLIS_PER_SECOND = 1_000;

    private ResponseWriter() {}

    /** Sends a value as JSON. */
    static Context sendJson(Context context, int status, Object value) {
        context.setResponseCode(status);
        context.setResponseType(JSON_TYPE);
        return context.send(JsonBody.write(value));
    }

    /** Sends a refusal with its HTTP status, verdict and, if it can be retried, Retry-After. */
    static Context sendRefusal(Context context, Refusal refusal) {
        context.setResponseHeader(VERDICT_HEADER, refusal.verdict().name());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            context.setResponseHeader(RETRY_AFTER_HEADER, Long.toString(seconds));
        }
        return sendJson(context, refusal.code().httpStatus(), refusal);
    }

    /** Sends the final reply to a caller's request, or its refusal. */
    static Context sendReply(Context context, RequestReply reply) {
        Refusal refusal = reply.refusal();
        if (refusal != null) {
            return sendRefusal(context, refusal);
        }
        context.setResponseHeader(VERDICT_HEADER, Verdict.RAN.name());
        context.setResponseCode(reply.status());
        context.setResponseType(BYTES_TYPE);
        return context.send(reply.body());
    }
}
