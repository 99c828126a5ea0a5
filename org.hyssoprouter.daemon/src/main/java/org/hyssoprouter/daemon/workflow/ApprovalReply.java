package org.hyssoprouter.daemon.workflow;

import io.vavr.control.Either;
import java.io.IOException;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.workflow.ApprovalTickets;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * Answer to an {@link ApprovalCall}: tickets or a failure.
 *
 * @param approvals tickets, or null after a failure
 * @param failure failure of the call, or null after a success
 */
record ApprovalReply(@Nullable ApprovalTickets approvals, @Nullable CallError failure) {
    static ApprovalReply of(Either<CallError, ApprovalTickets> result) {
        return result.fold(
                error -> new ApprovalReply(null, error), it -> new ApprovalReply(it, null));
    }

    static Either<CallError, ApprovalTickets> decode(byte[] bytes) {
        try {
            ApprovalReply reply = MessageCodec.decode(bytes, ApprovalReply.class);
            ApprovalTickets approvals = reply.approvals();
            if (approvals != null) {
                return Either.right(approvals);
            }
            CallError failure = reply.failure();
            return Either.left(
                    failure == null
                            ? malformed("approval reply holds neither tickets nor a failure")
                            : failure);
        } catch (IOException e) {
            return Either.left(malformed(String.valueOf(e.getMessage())));
        }
    }

    private static CallError malformed(String message) {
        return CallError.mayHaveRun(CallError.Kind.BROKEN, message);
    }
}
