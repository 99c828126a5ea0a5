package org.hyssoprouter.daemon.cell;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.stream.Stream;
import org.hyssoprouter.daemon.cell.JobMessages.JobHome;
import org.hyssoprouter.daemon.cell.JobMessages.JobListQuery;
import org.hyssoprouter.daemon.cell.JobMessages.JobListReply;
import org.hyssoprouter.daemon.cell.JobMessages.JobQuery;
import org.hyssoprouter.daemon.cell.JobMessages.JobReply;
import org.hyssoprouter.daemon.cell.JobMessages.JobSubmit;
import org.hyssoprouter.daemon.http.JobExplanation;
import org.hyssoprouter.daemon.http.JobService;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.transport.PeerCallType;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;

/**
 * Selects the home shard of a new job and routes operators' job calls to the owners of the shards.
 *
 * @since 0.1
 */
public final class JobRouter implements JobService {
    private static final long CALL_TIMEOUT_MILLIS = 5_000;
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_LISTED_JOBS = 500;
    private static final long RETRY_AFTER_MILLIS = 2_000;

    private final ShardDirectory mDirectory;
    private final ShardOwnerClient mOwners;
    private final HomeShardSelector mSelector;
    private final ConfigView mConfig;
    private final GroupCommit mCommits;
    private final TableService mTable;
    private final Executor mBlockingExecutor;

    /**
     * Creates the router.
     *
     * @param blockingExecutor runs reads of the table service, which block
     */
    JobRouter(
            ShardDirectory directory,
            ShardOwnerClient owners,
            HomeShardSelector selector,
            ConfigView config,
            GroupCommit commits,
            TableService table,
            Executor blockingExecutor) {
        mDirectory = directory;
        mOwners = owners;
        mSelector = selector;
        mConfig = config;
        mCommits = commits;
        mTable = table;
        mBlockingExecutor = blockingExecutor;
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        Either<Refusal, String> home = selectHome(spec);
        if (home.isLeft()) {
            return CompletableFuture.completedFuture(Either.left(home.getLeft()));
        }
        return claimId(spec.id(), home.get())
                .thenCompose(
                        claimed ->
                                claimed.fold(
                                        refusal ->
                                                CompletableFuture.completedFuture(
                                                        Either.left(refusal)),
                                        shard -> submitToShard(shard, spec)));
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> cancel(String job) {
        return callAllShards(
                job,
                shard ->
                        mOwners.call(
                                shard,
                                local -> local.shardScheduler().cancel(job).thenApply(JobReply::of),
                                PeerCallType.JOB_CANCEL,
                                new JobQuery(shard, job),
                                JobReply.class,
                                CALL_TIMEOUT_MILLIS));
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> view(String job) {
        return callAllShards(
                job,
                shard ->
                        mOwners.call(
                                shard,
                                local -> CompletableFuture.completedFuture(local.viewReply(job)),
                                PeerCallType.JOB_VIEW,
                                new JobQuery(shard, job),
                                JobReply.class,
                                CALL_TIMEOUT_MILLIS));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<JobView>>> list(String customer) {
        if (mDirectory.shards().isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(OwnerReplies.cellUnread()));
        }
        List<CompletableFuture<Either<CallError, JobListReply>>> calls =
                shards().map(shard -> listOnShard(shard, MAX_LISTED_JOBS)).toList();
        return OwnerReplies.awaitAll(calls).thenApply(replies -> merge(replies, customer));
    }

    @Override
    public CompletableFuture<Either<Refusal, JobExplanation>> explain(String job) {
        return view(job).thenApply(result -> result.map(JobExplanationFactory::create));
    }

    private CompletableFuture<Either<CallError, JobListReply>> listOnShard(
            String shard, int limit) {
        return mOwners.call(
                shard,
                local ->
                        CompletableFuture.completedFuture(
                                new JobListReply(local.shardScheduler().list(limit))),
                PeerCallType.JOB_LIST,
                new JobListQuery(shard, limit),
                JobListReply.class,
                CALL_TIMEOUT_MILLIS);
    }

    private static Either<Refusal, List<JobView>> merge(
            List<Either<CallError, JobListReply>> replies, String customer) {
        Option<CallError> failure =
                Option.ofOptional(
                        replies.stream().filter(Either::isLeft).map(Either::getLeft).findFirst());
        if (failure.isDefined()) {
            return Either.left(OwnerReplies.toRefusal(failure.get()));
        }
        List<JobView> views = new ArrayList<>();
        replies.forEach(reply -> views.addAll(reply.get().views()));
        views.sort(Comparator.comparingLong(JobView::acceptedWallMillis).reversed());
        return Either.right(
                views.stream()
                        .filter(
                                view ->
                                        customer.isEmpty()
                                                || view.spec().customer().equals(customer))
                        .limit(MAX_LISTED_JOBS)
                        .toList());
    }

    private Either<Refusal, String> selectHome(JobSpec spec) {
        Option<CustomerPolicy> policy =
                mConfig.current().flatMap(config -> config.policyOf(spec.customer()));
        if (mConfig.current().isEmpty()) {
            return Either.left(
                    Refusal.retryLater(
                            RefusalCode.NOT_READY,
                            "no configuration has been read yet",
                            RETRY_AFTER_MILLIS));
        }
        if (policy.isEmpty()) {
            return Either.left(
                    Refusal.invalidField("customer", "no such customer: " + spec.customer()));
        }
        if (mDirectory.shards().isEmpty()) {
            return Either.left(OwnerReplies.cellUnread());
        }
        if (!mSelector.hasReadHosts()) {
            return Either.left(OwnerReplies.hostsUnread());
        }
        String region = spec.region() == null ? policy.get().homeRegion() : spec.region();
        if (!mSelector.hasShards(region)) {
            return Either.left(Refusal.invalidField("region", "no such region: " + region));
        }
        List<String> candidates = mSelector.candidates(spec, region);
        if (candidates.isEmpty()) {
            return Either.left(
                    Refusal.notRun(
                            RefusalCode.CANNOT_RUN,
                            "a task does not fit any worker of region " + region));
        }
        return Either.right(candidates.get(0));
    }

    /** Claims the job id in the cell; an id already claimed returns the home shard on record. */
    private CompletableFuture<Either<Refusal, String>> claimId(String job, String home) {
        String key = "job/" + job;
        Transaction claim =
                Transaction.create()
                        .check(key, Transaction.ABSENT)
                        .put(key, MessageCodec.encode(new JobHome(home)));
        return mCommits.commit(claim, CLAIM_TIMEOUT_MILLIS)
                .thenComposeAsync(result -> resolveClaim(key, home, result), mBlockingExecutor);
    }

    private CompletableFuture<Either<Refusal, String>> resolveClaim(
            String key, String home, Either<TableError, Boolean> result) {
        if (result.isRight()) {
            return CompletableFuture.completedFuture(Either.right(home));
        }
        if (result.getLeft().kind() != TableError.Kind.CONFLICT) {
            return CompletableFuture.completedFuture(Either.left(tableUnavailable()));
        }
        return CompletableFuture.completedFuture(readHome(key));
    }

    private Either<Refusal, String> readHome(String key) {
        Either<TableError, List<Row>> rows = mTable.read(List.of(key));
        if (rows.isLeft() || rows.get().isEmpty()) {
            return Either.left(tableUnavailable());
        }
        try {
            return Either.right(
                    MessageCodec.decode(rows.get().get(0).value(), JobHome.class).shard());
        } catch (IOException e) {
            return Either.left(
                    Refusal.notRun(
                            RefusalCode.CONFLICT, "the table row of the job id is unreadable"));
        }
    }

    private CompletableFuture<Either<Refusal, JobView>> submitToShard(String shard, JobSpec spec) {
        return mOwners.call(
                        shard,
                        local -> local.shardScheduler().submit(spec).thenApply(JobReply::of),
                        PeerCallType.JOB_SUBMIT,
                        new JobSubmit(shard, spec),
                        JobReply.class,
                        CALL_TIMEOUT_MILLIS)
                .thenApply(JobRouter::resultOf);
    }

    private static Either<Refusal, JobView> resultOf(Either<CallError, JobReply> reply) {
        if (reply.isLeft()) {
            return Either.left(OwnerReplies.toRefusal(reply.getLeft()));
        }
        JobView view = reply.get().view();
        Refusal refusal = reply.get().refusal();
        if (view != null) {
            return Either.right(view);
        }
        return Either.left(
                refusal == null ? Refusal.notRun(RefusalCode.NOT_FOUND, "no such job") : refusal);
    }

    private CompletableFuture<Either<Refusal, JobView>> callAllShards(String job, ShardCall call) {
        if (mDirectory.shards().isEmpty()) {
            return CompletableFuture.completedFuture(Either.left(OwnerReplies.cellUnread()));
        }
        List<CompletableFuture<Either<CallError, JobReply>>> calls =
                shards().map(call::call).toList();
        return OwnerReplies.awaitAll(calls).thenApply(replies -> selectReply(job, replies));
    }

    /** Returns the reply of the shard that has the job; otherwise a failed call or NOT_FOUND. */
    private static Either<Refusal, JobView> selectReply(
            String job, List<Either<CallError, JobReply>> replies) {
        Option<CallError> failure = Option.none();
        for (Either<CallError, JobReply> reply : replies) {
            if (reply.isLeft()) {
                failure = Option.of(reply.getLeft());
                continue;
            }
            if (reply.get().view() != null || reply.get().refusal() != null) {
                return resultOf(reply);
            }
        }
        return Either.left(
                failure.map(OwnerReplies::toRefusal)
                        .getOrElse(Refusal.notRun(RefusalCode.NOT_FOUND, "no such job: " + job)));
    }

    private Stream<String> shards() {
        return mDirectory.shards().stream().map(ShardRow::shard);
    }

    private static Refusal tableUnavailable() {
        return Refusal.retryLater(
                RefusalCode.TABLE_UNAVAILABLE,
                "the table service is unavailable; it is required to accept a job",
                RETRY_AFTER_MILLIS);
    }

    /** Calls the owner of one shard about a job. */
    @FunctionalInterface
    private interface ShardCall {
        CompletableFuture<Either<CallError, JobReply>> call(String shard);
    }
}
