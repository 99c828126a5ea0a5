package org.hyssoprouter.daemon.http;

import io.jooby.Context;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestReply;

/** Writes answers: JSON, refusals and targets' replies, with their headers. */
final class Answers {
    private static final String VERDICT = "Hyssop-Verdict";
    private static final String RETRY_AFTER = "Retry-After";
    private static final String JSON = "application/json";
    private static final String BYTES = "application/octet-stream";
    private static final long MILLIS_PER_SECOND = 1_000;

    private Answers() {}

    /** Sends a value as JSON. */
    static Context json(Context context, int status, Object value) {
        context.setResponseCode(status);
        context.setResponseType(JSON);
        return context.send(JsonBody.write(value));
    }

    /** Sends a refusal with its status and headers. */
    static Context refusal(Context context, Refusal refusal) {
        context.setResponseHeader(VERDICT, refusal.verdict().name());
        if (refusal.retryAfterMillis() > 0) {
            long seconds = (refusal.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            context.setResponseHeader(RETRY_AFTER, Long.toString(seconds));
        }
        return json(context, refusal.code().httpStatus(), refusal);
    }

    /** Sends the final reply to a caller's request. */
    static Context reply(Context context, RequestReply reply) {
        Refusal refusal = reply.refusal();
        if (refusal != null) {
            return refusal(context, refusal);
        }
        context.setResponseHeader(VERDICT, Verdict.RAN.name());
        context.setResponseCode(reply.status());
        context.setResponseType(BYTES);
        return context.send(reply.body());
    }
}
