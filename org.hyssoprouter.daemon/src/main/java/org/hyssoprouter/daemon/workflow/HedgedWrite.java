package org.hyssoprouter.daemon.workflow;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.lib.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Makes an idempotent write in several ways until one succeeds. The next attempt starts when the
 * last one has failed or is slow. The result is known within a time limit, even if no attempt ends.
 */
final class HedgedWrite {
    private final SerialExecutor mThread;
    private final List<Attempt> mAttempts;
    private final CompletableFuture<SubmitResult> mResult = new CompletableFuture<>();
    private int mStartedCount;
    private int mOpenCount;
    private SubmitResult mFailure = SubmitResult.notRun("no daemon can reach the store", 0);

    /**
     * One way to make the write.
     *
     * @param hedgeDelayMillis time from the start of the first attempt after which this one starts
     *     although earlier ones are still open, in milliseconds
     * @param mayHedge whether this attempt may start although earlier ones are still open
     * @param call makes the attempt
     */
    record Attempt(
            long hedgeDelayMillis,
            BooleanSupplier mayHedge,
            Supplier<CompletableFuture<SubmitResult>> call) {}

    private HedgedWrite(SerialExecutor thread, List<Attempt> attempts) {
        mThread = thread;
        mAttempts = List.copyOf(attempts);
    }

    /** Makes the attempts on a thread until one succeeds or the time limit expires. */
    static CompletableFuture<SubmitResult> start(
            SerialExecutor thread, List<Attempt> attempts, long limitMillis) {
        HedgedWrite write = new HedgedWrite(thread, attempts);
        thread.execute(write::startNext);
        for (int i = 1; i < attempts.size(); i++) {
            int index = i;
            thread.schedule(() -> write.hedge(index), attempts.get(i).hedgeDelayMillis());
        }
        thread.schedule(write::expire, limitMillis);
        return write.mResult;
    }

    private void startNext() {
        if (mStartedCount == mAttempts.size()) {
            if (mOpenCount == 0) {
                mResult.complete(mFailure);
            }
            return;
        }
        Attempt attempt = mAttempts.get(mStartedCount++);
        mOpenCount++;
        CompletableFuture<SubmitResult> unused =
                call(attempt)
                        .whenComplete(
                                (result, failure) ->
                                        mThread.execute(() -> handleEnd(result, failure)));
    }

    private static CompletableFuture<SubmitResult> call(Attempt attempt) {
        try {
            return attempt.call().get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void handleEnd(@Nullable SubmitResult result, @Nullable Throwable failure) {
        mOpenCount--;
        SubmitResult ended =
                result == null ? SubmitResult.mayHaveRun("attempt failed: " + failure) : result;
        // Another attempt that is open or may have run can still store the write.
        boolean refused =
                ended.idInUse() && mOpenCount == 0 && mFailure.verdict() == Verdict.NOT_RUN;
        if (ended.verdict() == Verdict.RAN || refused) {
            mResult.complete(ended);
        }
        if (mResult.isDone()) {
            return;
        }
        if (mFailure.verdict() == Verdict.NOT_RUN) {
            mFailure = ended;
        }
        startNext();
    }

    private void hedge(int index) {
        boolean lastIsOpen = mStartedCount == index && !mResult.isDone();
        if (lastIsOpen && mAttempts.get(index).mayHedge().getAsBoolean()) {
            startNext();
        }
    }

    private void expire() {
        mResult.complete(SubmitResult.mayHaveRun("no answer within the time limit"));
    }
}
