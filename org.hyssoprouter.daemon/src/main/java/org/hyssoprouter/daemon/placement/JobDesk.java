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
final class JobDesk {
    private static final long APPEND_WITHIN_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 1_000;

    private final Map<String, Acceptance> mAcceptances = new HashMap<>();
    private final ShardContext mContext;
    private final ConfigView mConfig;
    private final JobScheduler mBook;
    private final WorkerLinks mLinks;
    private final WorkerCalls mCalls;
    private final ShardDecisions mDecisions;
    private final Executor mExecutor;
    private final Runnable mPlaceSoon;
    private boolean mClosed;

    JobDesk(
            ShardContext context,
            ConfigView config,
            JobScheduler book,
            WorkerLinks links,
            WorkerCalls calls,
            Executor executor,
            Runnable placeSoon) {
        mContext = context;
        mConfig = config;
        mBook = book;
        mLinks = links;
        mCalls = calls;
        mDecisions = calls.decisions();
        mExecutor = executor;
        mPlaceSoon = placeSoon;
    }

    /** Takes no new work from now on. */
    void close() {
        mDecisions.run(() -> mClosed = true);
    }

    CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        Option<Refusal> malformed = JobAdmissionCheck.checkForm(spec);
        if (malformed.isDefined()) {
            return done(Either.left(malformed.get()));
        }
        Option<EffectiveConfig> config = mConfig.current();
        return mDecisions.decide(() -> submit(spec, config));
    }

    private CompletableFuture<Either<Refusal, JobView>> submit(
            JobSpec spec, Option<EffectiveConfig> config) {
        Option<JobSpec> known = mBook.spec(spec.id());
        if (known.isDefined()) {
            return done(
                    known.get().equals(spec) ? Either.right(viewOf(spec.id())) : conflict(spec));
        }
        Acceptance open = mAcceptances.get(spec.id());
        if (open != null) {
            return open.spec().equals(spec) ? open.answer() : done(conflict(spec));
        }
        Option<Refusal> refusal = refusalOf(spec, config);
        if (refusal.isDefined()) {
            return done(Either.left(refusal.get()));
        }
        Acceptance acceptance = new Acceptance(spec, new CompletableFuture<>());
        mAcceptances.put(spec.id(), acceptance);
        mDecisions.callLater(() -> append(acceptance));
        return acceptance.answer();
    }

    private Option<Refusal> refusalOf(JobSpec spec, Option<EffectiveConfig> config) {
        if (mClosed) {
            return later(RefusalCode.NOT_READY, "the shard is being handed over");
        }
        if (config.isEmpty()) {
            return later(RefusalCode.NOT_READY, "no configuration has been read yet");
        }
        Option<Refusal> byCustomer = JobAdmissionCheck.checkCustomer(spec, config.get());
        if (byCustomer.isDefined()) {
            return byCustomer;
        }
        if (mBook.fleet().isEmpty()) {
            return later(RefusalCode.NOT_READY, "the host list has not been read yet");
        }
        return JobAdmissionCheck.checkCapacity(spec, mBook.fleet());
    }

    private void append(Acceptance acceptance) {
        JobAccepted event = new JobAccepted(acceptance.spec(), mDecisions.wallMillis());
        var unused =
                mCalls.append(List.of(event), APPEND_WITHIN_MILLIS)
                        .whenComplete(
                                (result, error) -> appended(acceptance, event, result, error));
    }

    /**
     * The state changes on the journal's thread, before a snapshot can count the event as covered;
     * everything else is left to another thread.
     */
    private void appended(
            Acceptance acceptance,
            JobAccepted event,
            Either<TableError, Boolean> result,
            Throwable error) {
        Either<Refusal, JobView> answer =
                mDecisions.decide(
                        () -> {
                            mAcceptances.remove(event.spec().id());
                            Option<Refusal> refusal = refusalOf(result, error);
                            if (refusal.isDefined()) {
                                return Either.left(refusal.get());
                            }
                            mBook.accept(event, mDecisions.nowMillis());
                            return Either.right(viewOf(event.spec().id()));
                        });
        mExecutor.execute(() -> acceptance.answer().complete(answer));
        mPlaceSoon.run();
    }

    CompletableFuture<Either<Refusal, JobView>> cancel(String job) {
        return change(
                job,
                () -> mBook.isEnding(job),
                new JobCancelled(job),
                () ->
                        mBook.cancel(
                                new JobCancelled(job),
                                mDecisions.nowMillis(),
                                mDecisions.wallMillis()));
    }

    private CompletableFuture<Either<Refusal, JobView>> change(
            String job, Supplier<Boolean> isDone, ShardEvent event, Runnable apply) {
        return mDecisions.decide(
                () -> {
                    if (mBook.spec(job).isEmpty()) {
                        return done(
                                Either.left(
                                        Refusal.notRun(RefusalCode.NOT_FOUND, "no job " + job)));
                    }
                    if (isDone.get()) {
                        return done(Either.right(viewOf(job)));
                    }
                    CompletableFuture<Either<Refusal, JobView>> answer = new CompletableFuture<>();
                    mDecisions.callLater(() -> appendThen(event, apply, () -> viewOf(job), answer));
                    return answer;
                });
    }

    CompletableFuture<Either<Refusal, Boolean>> drainWorker(String worker, boolean drained) {
        WorkerDrained event = new WorkerDrained(worker, drained);
        return mDecisions.decide(
                () -> {
                    if (mLinks.get(worker) == null) {
                        return done(
                                Either.left(
                                        Refusal.notRun(
                                                RefusalCode.NOT_FOUND, "no worker " + worker)));
                    }
                    CompletableFuture<Either<Refusal, Boolean>> answer = new CompletableFuture<>();
                    Runnable apply = () -> mBook.apply(event, mDecisions.nowMillis());
                    mDecisions.callLater(() -> appendThen(event, apply, () -> drained, answer));
                    return answer;
                });
    }

    private <T> void appendThen(
            ShardEvent event,
            Runnable apply,
            Supplier<T> result,
            CompletableFuture<Either<Refusal, T>> answer) {
        var unused =
                mCalls.append(List.of(event), APPEND_WITHIN_MILLIS)
                        .whenComplete(
                                (written, error) -> {
                                    Either<Refusal, T> outcome =
                                            mDecisions.decide(
                                                    () -> outcomeOf(written, error, apply, result));
                                    mExecutor.execute(() -> answer.complete(outcome));
                                    mPlaceSoon.run();
                                });
    }

    private static <T> Either<Refusal, T> outcomeOf(
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
        return mDecisions.read(() -> mBook.view(job, mDecisions.wallMillis(), note(mayAct)));
    }

    private JobView viewOf(String job) {
        return mBook.view(job, mDecisions.wallMillis(), note(true)).get();
    }

    private String note(boolean mayAct) {
        if (!mayAct) {
            return "the owner waits for confirmation of its ownership";
        }
        if (!mLinks.isSettled()) {
            return "inventory after a change of owner; not known yet: " + mLinks.unsettledNames();
        }
        return "";
    }

    private static Option<Refusal> refusalOf(Either<TableError, Boolean> result, Throwable error) {
        if (error != null || (result.isLeft() && isUnknown(result.getLeft()))) {
            return Option.some(
                    Refusal.mayHaveRun(
                            RefusalCode.TABLE_UNAVAILABLE,
                            "the table did not confirm the change; ask for its state"));
        }
        if (result.isRight()) {
            return Option.none();
        }
        if (result.getLeft().kind() == TableError.Kind.CONFLICT) {
            return later(RefusalCode.NO_OWNER, "the shard has a new owner");
        }
        return later(RefusalCode.TABLE_UNAVAILABLE, "the table service cannot be reached");
    }

    private static boolean isUnknown(TableError error) {
        return error.kind() == TableError.Kind.UNKNOWN;
    }

    private static Option<Refusal> later(RefusalCode code, String message) {
        return Option.some(Refusal.later(code, message, RETRY_MILLIS));
    }

    private static Either<Refusal, JobView> conflict(JobSpec spec) {
        return Either.left(
                Refusal.notRun(
                        RefusalCode.CONFLICT, "job " + spec.id() + " exists with other content"));
    }

    private static <T> CompletableFuture<T> done(T value) {
        return CompletableFuture.completedFuture(value);
    }

    /** An acceptance that is not durable yet. */
    private record Acceptance(JobSpec spec, CompletableFuture<Either<Refusal, JobView>> answer) {}
}
