package org.hyssoprouter.daemon.cell;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.lib.Verdict;

/** Answers of several owners to one operator's call. */
final class OwnerReplies {
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private OwnerReplies() {}

    /** Waits for all calls. */
    static <T> CompletableFuture<List<T>> awaitAll(List<CompletableFuture<T>> calls) {
        return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> calls.stream().map(CompletableFuture::join).toList());
    }

    /** Returns what an operator is told when an owner could not be asked. */
    static Refusal toRefusal(CallError error) {
        return new Refusal(
                error.verdict() == Verdict.NOT_RUN ? RefusalCode.NO_OWNER : RefusalCode.TIMEOUT,
                error.verdict(),
                "owner of the shard: " + error.message(),
                null,
                RETRY_AFTER_MILLIS);
    }
}
