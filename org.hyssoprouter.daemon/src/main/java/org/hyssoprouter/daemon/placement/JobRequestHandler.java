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

/** Answers operators: each accepted change is durable before its answer. */
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
            JobScheduler book,
            WorkerTracker links,
            WorkerDispatcher calls,
            Executor executor,
            Runnable placeSoon) {
        mContext = context;
        mConfig = config;
        mScheduler = book;
        mWorkers = links;
        mDispatcher = calls;
        mLock = calls.lock();
        mExecutor = executor;
        mSchedulePlacement = placeSoon;
    }

    /** Takes no new work from now on. */
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
        Option<JobSpec> known = mScheduler.spec(spec.id());
        if (known.isDefined()) {
            return completed(
                    known.get().equals(spec)
                            ? Either.right(currentView(spec.id()))
                            : conflict(spec));
        }
        PendingSubmission open = mPendingSubmissions.get(spec.id());
        if (open != null) {
            return open.spec().equals(spec) ? open.result() : completed(conflict(spec));
        }
        Option<Refusal> refusal = refusalOf(spec, config);
        if (refusal.isDefined()) {
            return completed(Either.left(refusal.get()));
        }
        PendingSubmission acceptance = new PendingSubmission(spec, new CompletableFuture<>());
        mPendingSubmissions.put(spec.id(), acceptance);
        mLock.enqueueCall(() -> appendAcceptance(acceptance));
        return acceptance.result();
    }

    private Option<Refusal> refusalOf(JobSpec spec, Option<EffectiveConfig> config) {
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

    private void appendAcceptance(PendingSubmission acceptance) {
        JobAccepted event = new JobAccepted(acceptance.spec(), mLock.wallMillis());
        var unused =
                mDispatcher
                        .append(List.of(event), APPEND_TIMEOUT_MILLIS)
                        .whenComplete(
                                (result, error) ->
                                        handleAppendResult(acceptance, event, result, error));
    }

    /**
     * The state changes on the journal's thread, before a snapshot can count the event as covered;
     * everything else is left to another thread.
     */
    private void handleAppendResult(
            PendingSubmission acceptance,
            JobAccepted event,
            Either<TableError, Boolean> result,
            Throwable error) {
        Either<Refusal, JobView> answer =
                mLock.callLocked(
                        () -> {
                            mPendingSubmissions.remove(event.spec().id());
                            Option<Refusal> refusal = refusalOf(result, error);
                            if (refusal.isDefined()) {
                                return Either.left(refusal.get());
                            }
                            mScheduler.accept(event, mLock.nowMillis());
                            return Either.right(currentView(event.spec().id()));
                        });
        mExecutor.execute(() -> acceptance.result().complete(answer));
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
            String job, Supplier<Boolean> isDone, ShardEvent event, Runnable apply) {
        return mLock.callLocked(
                () -> {
                    if (mScheduler.spec(job).isEmpty()) {
                        return completed(
                                Either.left(
                                        Refusal.notRun(RefusalCode.NOT_FOUND, "no job " + job)));
                    }
                    if (isDone.get()) {
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
                                                RefusalCode.NOT_FOUND, "no worker " + worker)));
                    }
                    CompletableFuture<Either<Refusal, Boolean>> answer = new CompletableFuture<>();
                    Runnable apply = () -> mScheduler.apply(event, mLock.nowMillis());
                    mLock.enqueueCall(() -> appendAndApply(event, apply, () -> drained, answer));
                    return answer;
                });
    }

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
        Option<Refusal> refusal = refusalOf(written, error);
        if (refusal.isDefined()) {
            return Either.left(refusal.get());
        }
        apply.run();
        return Either.right(result.get());
    }

    Option<JobView> view(String job) {
        boolean mayAct = mContext.ownership().isConfirmed();
        return mLock.readLocked(
                () -> mScheduler.view(job, mLock.wallMillis(), placementNote(mayAct)));
    }

    private JobView currentView(String job) {
        return mScheduler.view(job, mLock.wallMillis(), placementNote(true)).get();
    }

    private String placementNote(boolean mayAct) {
        if (!mayAct) {
            return "the owner waits for confirmation of its ownership";
        }
        if (!mWorkers.isInventoryComplete()) {
            return "inventory after a change of owner; not known yet: "
                    + mWorkers.unreconciledNames();
        }
        return "";
    }

    private static Option<Refusal> refusalOf(Either<TableError, Boolean> result, Throwable error) {
        if (error != null || (result.isLeft() && isOutcomeUnknown(result.getLeft()))) {
            return Option.some(
                    Refusal.mayHaveRun(
                            RefusalCode.TABLE_UNAVAILABLE,
                            "the table did not confirm the change; ask for its state"));
        }
        if (result.isRight()) {
            return Option.none();
        }
        if (result.getLeft().kind() == TableError.Kind.CONFLICT) {
            return retryLater(RefusalCode.NO_OWNER, "the shard has a new owner");
        }
        return retryLater(RefusalCode.TABLE_UNAVAILABLE, "the table service cannot be reached");
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
                        RefusalCode.CONFLICT, "job " + spec.id() + " exists with other content"));
    }

    private static <T> CompletableFuture<T> completed(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** An acceptance that is not durable yet. */
    private record PendingSubmission(
            JobSpec spec, CompletableFuture<Either<Refusal, JobView>> result) {}
}
