package org.hyssoprouter.daemon.cell;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.Verdict;

/** Awaits the replies of shard owners and maps failed calls to refusals. */
final class OwnerReplies {
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private OwnerReplies() {}

    /** Returns a future that completes with the results of all calls, in their order. */
    static <T> CompletableFuture<List<T>> awaitAll(List<CompletableFuture<T>> calls) {
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    /** Returns the refusal that an operator receives before this daemon has read the cell. */
    static Refusal cellUnread() {
        return notReady("this daemon has not read the cell yet");
    }

    /** Returns the refusal that an operator receives before this daemon knows the hosts. */
    static Refusal hostsUnread() {
        return notReady("this daemon has not read the host list yet");
    }

    private static Refusal notReady(String message) {
        return Refusal.retryLater(RefusalCode.NOT_READY, message, RETRY_AFTER_MILLIS);
    }

    /** Returns the refusal that an operator receives when a call to an owner fails. */
    static Refusal toRefusal(CallError error) {
        return new Refusal(
                error.verdict() == Verdict.NOT_RUN ? RefusalCode.NO_OWNER : RefusalCode.TIMEOUT,
                error.verdict(),
                "call to the shard owner failed: " + error.message(),
                null,
                RETRY_AFTER_MILLIS);
    }
}
