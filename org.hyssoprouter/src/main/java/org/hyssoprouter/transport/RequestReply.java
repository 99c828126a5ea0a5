package org.hyssoprouter.transport;

import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Final answer to a {@link RequestOrder}.
 *
 * @param verdict whether the request ran
 * @param status HTTP status of the target's answer, or of the refusal
 * @param body the target's answer; empty with a refusal
 * @param refusal reason why there is no answer, or null
 * @param load load of the shard that handled the request, or null
 * @since 0.1
 */
public record RequestReply(
        Verdict verdict,
        int status,
        byte[] body,
        @Nullable Refusal refusal,
        @Nullable LoadDigest load) {
    /** Returns the reply that carries a target's complete answer. */
    public static RequestReply ran(int status, byte[] body) {
        return new RequestReply(Verdict.RAN, status, body, null, null);
    }

    /** Returns the reply that carries a refusal. */
    public static RequestReply refused(Refusal refusal) {
        return new RequestReply(
                refusal.verdict(), refusal.code().httpStatus(), new byte[0], refusal, null);
    }

    /** Returns a copy of this reply with the load of the shard that handled the request. */
    public RequestReply withLoad(LoadDigest digest) {
        return new RequestReply(verdict, status, body, refusal, digest);
    }
}
