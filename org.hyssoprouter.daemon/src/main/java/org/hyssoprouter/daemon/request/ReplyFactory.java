package org.hyssoprouter.daemon.request;

import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.journal.ShardEvent.ClaimSettled;
import org.hyssoprouter.internal.request.IdempotencyKeyStore;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestReply;

/** Creates the replies that do not come from an executor: refusals and stored outcomes. */
final class ReplyFactory {
    static final long OWNER_RETRY_AFTER_MILLIS = 500;
    static final long TABLE_RETRY_AFTER_MILLIS = 2000;
    static final long EXECUTOR_RETRY_AFTER_MILLIS = 500;

    private ReplyFactory() {}

    static RequestReply retryLater(RefusalCode code, String message, long retryAfterMillis) {
        return RequestReply.refused(Refusal.retryLater(code, message, retryAfterMillis));
    }

    static RequestReply notRun(RefusalCode code, String message) {
        return RequestReply.refused(Refusal.notRun(code, message));
    }

    static RequestReply mayHaveRun(RefusalCode code, String message) {
        return RequestReply.refused(Refusal.mayHaveRun(code, message));
    }

    static Refusal notOwner() {
        return Refusal.retryLater(
                RefusalCode.NO_OWNER,
                "the shard has no daemon with confirmed ownership at present",
                OWNER_RETRY_AFTER_MILLIS);
    }

    static Refusal timeoutBeforeSend() {
        return Refusal.retryLater(
                RefusalCode.TIMEOUT, "the deadline passed before an executor slot was free", 1);
    }

    static Refusal tableUnavailable() {
        return Refusal.retryLater(
                RefusalCode.TABLE_UNAVAILABLE,
                "the idempotency key could not be recorded in the table",
                TABLE_RETRY_AFTER_MILLIS);
    }

    static RequestReply inProgress(long retryAfterMillis) {
        return RequestReply.refused(
                new Refusal(
                        RefusalCode.IN_PROGRESS,
                        Verdict.MAY_HAVE_RUN,
                        "a request with this idempotency key is in progress",
                        null,
                        Math.max(1, retryAfterMillis)));
    }

    static RequestReply keyExpired() {
        // An earlier request with the key may have run, so NOT_RUN could cause a second execution.
        return mayHaveRun(
                RefusalCode.KEY_EXPIRED,
                "the idempotency key is older than the retention time of keys");
    }

    static RequestReply fromOutcome(ClaimSettled outcome) {
        if (outcome.verdict() == Verdict.MAY_HAVE_RUN) {
            return mayHaveRun(
                    RefusalCode.TARGET_FAILED,
                    "an earlier request with this key was sent, but its outcome is unknown");
        }
        if (outcome.status() == IdempotencyKeyStore.NO_STORED_ANSWER) {
            return RequestReply.refused(
                    new Refusal(
                            RefusalCode.CONFLICT,
                            Verdict.RAN,
                            "an earlier request with this key has run; its response was not stored",
                            null,
                            0));
        }
        return RequestReply.ran(outcome.status(), outcome.body());
    }

    /** Replaces NOT_RUN by MAY_HAVE_RUN, for a request of which an earlier attempt may have run. */
    static RequestReply asMayHaveRun(RequestReply reply) {
        Refusal refusal = reply.refusal();
        if (refusal == null || reply.verdict() != Verdict.NOT_RUN) {
            return reply;
        }
        return RequestReply.refused(
                new Refusal(
                        refusal.code(),
                        Verdict.MAY_HAVE_RUN,
                        refusal.message(),
                        refusal.field(),
                        refusal.retryAfterMillis()));
    }

    static RequestReply executorFailure(CallError error) {
        RefusalCode code =
                error.kind() == CallError.Kind.TIMEOUT
                        ? RefusalCode.TIMEOUT
                        : RefusalCode.TARGET_FAILED;
        return error.verdict() == Verdict.NOT_RUN
                ? retryLater(
                        RefusalCode.TARGET_FAILED, error.message(), EXECUTOR_RETRY_AFTER_MILLIS)
                : mayHaveRun(code, error.message());
    }

    /**
     * Returns the reply to a request during which one executor after another broke off. It must not
     * be sent to others.
     */
    static RequestReply executorsBroke(int count) {
        return mayHaveRun(
                RefusalCode.EXECUTORS_LOST,
                count + " executors broke off while they had this request; it may crash them");
    }
}
