package org.hyssoprouter.daemon.placement;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.journal.ShardEvent.JobAccepted;
import org.hyssoprouter.internal.journal.ShardEvent.JobCancelled;
import org.hyssoprouter.internal.journal.ShardEvent.WorkerDrained;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.internal.placement.JobAdmissionCheck;
import org.hyssoprouter.internal.placement.JobScheduler;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;

/**
 * Handles submissions, cancellations, drains and views of one shard. A change is answered only once
 * it is durable in the journal.
 */
final class JobRequestHandler {
    private static final long APPEND_TIMEOUT_MILLIS = 2_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Map<String, PendingSubmission> mPendingSubmissions = new HashMap<>();
    private final ShardContext mContext;
    private final ConfigView mConfig;
    private final JobScheduler mScheduler;
    private final WorkerTracker mWorkers;
    private final WorkerDispatcher mDispatcher;
    private final SchedulerLock mLock;
    private final Executor mExecutor;
    private final Runnable mSchedulePlacement;
    private boolean mClosed;

    JobRequestHandler(
            ShardContext context,
            ConfigView config,
            JobScheduler scheduler,
            WorkerTracker workers,
            WorkerDispatcher dispatcher,
            Executor executor,
            Runnable schedulePlacement) {
        mContext = context;
        mConfig = config;
        mScheduler = scheduler;
        mWorkers = workers;
        mDispatcher = dispatcher;
        mLock = dispatcher.lock();
        mExecutor = executor;
        mSchedulePlacement = schedulePlacement;
    }

    /** Rejects new jobs from now on. */
    void close() {
        mLock.runLocked(() -> mClosed = true);
    }

    CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        Option<Refusal> malformed = JobAdmissionCheck.checkForm(spec);
        if (malformed.isDefined()) {
            return completed(Either.left(malformed.get()));
        }
        Option<EffectiveConfig> config = mConfig.current();
        return mLock.callLocked(() -> submit(spec, config));
    }

    private CompletableFuture<Either<Refusal, JobView>> submit(
            JobSpec spec, Option<EffectiveConfig> config) {
        Option<JobSpec> existing = mScheduler.spec(spec.id());
        if (existing.isDefined()) {
            return completed(
                    existing.get().equals(spec)
                            ? Either.right(currentView(spec.id()))
                            : conflict(spec));
        }
        PendingSubmission pending = mPendingSubmissions.get(spec.id());
        if (pending != null) {
            return pending.spec().equals(spec) ? pending.result() : completed(conflict(spec));
        }
        Option<Refusal> refusal = admissionRefusal(spec, config);
        if (refusal.isDefined()) {
            return completed(Either.left(refusal.get()));
        }
        PendingSubmission submission = new PendingSubmission(spec, new CompletableFuture<>());
        mPendingSubmissions.put(spec.id(), submission);
        mLock.enqueueCall(() -> appendAcceptance(submission));
        return submission.result();
    }

    private Option<Refusal> admissionRefusal(JobSpec spec, Option<EffectiveConfig> config) {
        if (mClosed) {
            return retryLater(RefusalCode.NOT_READY, "the shard is being handed over");
        }
        if (config.isEmpty()) {
            return retryLater(RefusalCode.NOT_READY, "no configuration has been read yet");
        }
        Option<Refusal> byCustomer = JobAdmissionCheck.checkCustomer(spec, config.get());
        if (byCustomer.isDefined()) {
            return byCustomer;
        }
        if (mScheduler.fleet().isEmpty()) {
            return retryLater(RefusalCode.NOT_READY, "the host list has not been read yet");
        }
        return JobAdmissionCheck.checkCapacity(spec, mScheduler.fleet());
    }

    private void appendAcceptance(PendingSubmission submission) {
        JobAccepted event = new JobAccepted(submission.spec(), mLock.wallMillis());
        var unused =
                mDispatcher
                        .append(List.of(event), APPEND_TIMEOUT_MILLIS)
                        .whenComplete(
                                (result, error) ->
                                        handleAppendResult(submission, event, result, error));
    }

    /**
     * Applies a durable acceptance to the scheduler on the journal's thread, so that no snapshot
     * can count the event as covered before it is applied. The executor completes the submission.
     */
    private void handleAppendResult(
            PendingSubmission submission,
            JobAccepted event,
            Either<TableError, Boolean> result,
            Throwable error) {
        Either<Refusal, JobView> answer =
                mLock.callLocked(
                        () -> {
                            mPendingSubmissions.remove(event.spec().id());
                            Option<Refusal> refusal = appendRefusal(result, error);
                            if (refusal.isDefined()) {
                                return Either.left(refusal.get());
                            }
                            mScheduler.accept(event, mLock.nowMillis());
                            return Either.right(currentView(event.spec().id()));
                        });
        mExecutor.execute(() -> submission.result().complete(answer));
        mSchedulePlacement.run();
    }

    CompletableFuture<Either<Refusal, JobView>> cancel(String job) {
        return appendChange(
                job,
                () -> mScheduler.isEnding(job),
                new JobCancelled(job),
                () ->
                        mScheduler.cancel(
                                new JobCancelled(job), mLock.nowMillis(), mLock.wallMillis()));
    }

    private CompletableFuture<Either<Refusal, JobView>> appendChange(
            String job, Supplier<Boolean> isApplied, ShardEvent event, Runnable apply) {
        return mLock.callLocked(
                () -> {
                    if (mScheduler.spec(job).isEmpty()) {
                        return completed(
                                Either.left(
                                        Refusal.notRun(
                                                RefusalCode.NOT_FOUND, "no such job: " + job)));
                    }
                    if (isApplied.get()) {
                        return completed(Either.right(currentView(job)));
                    }
                    CompletableFuture<Either<Refusal, JobView>> answer = new CompletableFuture<>();
                    mLock.enqueueCall(
                            () -> appendAndApply(event, apply, () -> currentView(job), answer));
                    return answer;
                });
    }

    CompletableFuture<Either<Refusal, Boolean>> drainWorker(String worker, boolean drained) {
        WorkerDrained event = new WorkerDrained(worker, drained);
        return mLock.callLocked(
                () -> {
                    if (mWorkers.get(worker) == null) {
                        return completed(
                                Either.left(
                                        Refusal.notRun(
                                                RefusalCode.NOT_FOUND,
                                                "no such worker: " + worker)));
                    }
                    CompletableFuture<Either<Refusal, Boolean>> answer = new CompletableFuture<>();
                    Runnable apply = () -> mScheduler.apply(event, mLock.nowMillis());
                    mLock.enqueueCall(() -> appendAndApply(event, apply, () -> drained, answer));
                    return answer;
                });
    }

    /** Appends an event and, once it is durable, applies it and completes the answer. */
    private <T> void appendAndApply(
            ShardEvent event,
            Runnable apply,
            Supplier<T> result,
            CompletableFuture<Either<Refusal, T>> answer) {
        var unused =
                mDispatcher
                        .append(List.of(event), APPEND_TIMEOUT_MILLIS)
                        .whenComplete(
                                (written, error) -> {
                                    Either<Refusal, T> outcome =
                                            mLock.callLocked(
                                                    () ->
                                                            applyIfDurable(
                                                                    written, error, apply, result));
                                    mExecutor.execute(() -> answer.complete(outcome));
                                    mSchedulePlacement.run();
                                });
    }

    private static <T> Either<Refusal, T> applyIfDurable(
            Either<TableError, Boolean> written,
            Throwable error,
            Runnable apply,
            Supplier<T> result) {
        Option<Refusal> refusal = appendRefusal(written, error);
        if (refusal.isDefined()) {
            return Either.left(refusal.get());
        }
        apply.run();
        return Either.right(result.get());
    }

    Option<JobView> view(String job) {
        boolean ownershipConfirmed = mContext.ownership().isConfirmed();
        return mLock.readLocked(
                () -> mScheduler.view(job, mLock.wallMillis(), placementNote(ownershipConfirmed)));
    }

    private JobView currentView(String job) {
        return mScheduler.view(job, mLock.wallMillis(), placementNote(true)).get();
    }

    private String placementNote(boolean ownershipConfirmed) {
        if (!ownershipConfirmed) {
            return "the owner is waiting for confirmation of its ownership";
        }
        if (!mWorkers.isInventoryComplete()) {
            return "waiting for worker inventories after a change of owner: "
                    + mWorkers.unreconciledNames();
        }
        return "";
    }

    private static Option<Refusal> appendRefusal(
            Either<TableError, Boolean> result, Throwable error) {
        if (error != null || (result.isLeft() && isOutcomeUnknown(result.getLeft()))) {
            return Option.some(
                    Refusal.mayHaveRun(
                            RefusalCode.TABLE_UNAVAILABLE,
                            "the table service did not confirm the change; query the state"));
        }
        if (result.isRight()) {
            return Option.none();
        }
        if (result.getLeft().kind() == TableError.Kind.CONFLICT) {
            return retryLater(RefusalCode.NO_OWNER, "the shard has a new owner");
        }
        return retryLater(RefusalCode.TABLE_UNAVAILABLE, "the table service is unavailable");
    }

    private static boolean isOutcomeUnknown(TableError error) {
        return error.kind() == TableError.Kind.UNKNOWN;
    }

    private static Option<Refusal> retryLater(RefusalCode code, String message) {
        return Option.some(Refusal.retryLater(code, message, RETRY_AFTER_MILLIS));
    }

    private static Either<Refusal, JobView> conflict(JobSpec spec) {
        return Either.left(
                Refusal.notRun(
                        RefusalCode.CONFLICT,
                        "job " + spec.id() + " already exists with a different specification"));
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** A submitted job whose acceptance is not durable yet. */
    private record PendingSubmission(
            JobSpec spec, CompletableFuture<Either<Refusal, JobView>> result) {}
}
