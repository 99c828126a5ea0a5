package org.hyssoprouter.daemon.configuration;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.time.Clock;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.configuration.ConfigMessages.VersionQuery;
import org.hyssoprouter.daemon.configuration.ConfigMessages.VersionReply;
import org.hyssoprouter.daemon.http.ConfigService;
import org.hyssoprouter.daemon.http.ConfigStatus;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.internal.config.ConfigHolder;
import org.hyssoprouter.internal.config.ResolvedConfig;
import org.hyssoprouter.internal.journal.GroupCommit;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;
import org.jspecify.annotations.Nullable;

/**
 * Applies new versions of the configuration, commits changes by compare-and-set, and tracks a
 * change until every live daemon applies it.
 *
 * @since 0.1
 */
public final class ConfigurationService implements Service, ConfigService {
    private static final EventLogger LOG = EventLogger.of(ConfigurationService.class);

    private static final long ROLLOUT_TIMEOUT_MILLIS = 10_000;
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;
    private static final long COMMIT_TIMEOUT_MILLIS = 3_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final long CHECK_PERIOD_MILLIS = 1_000;
    private static final long PEER_QUERY_AGE_MILLIS = 2_000;
    private static final int MAX_HISTORY_VERSIONS = 200;

    private final ConfigHolder mHolder;
    private final FreshConfigView mFreshView;
    private final TableService mTable;
    private final GroupCommit mCommits;
    private final ShardDirectory mDirectory;
    private final PeerVersionClient mVersionClient;
    private final DaemonRow mSelf;
    private final Clock mClock;
    private final MonotonicClock mMonotonicClock;
    private final ScheduledExecutorService mTimer;
    private volatile @Nullable ScheduledFuture<?> mCheck;

    /**
     * Creates the service.
     *
     * @param self identity of this daemon
     * @param timer runs the periodic checks and the blocking reads of the table
     */
    public ConfigurationService(
            ConfigHolder holder,
            FreshConfigView freshView,
            TableService table,
            GroupCommit commits,
            ShardDirectory directory,
            PeerTransport peers,
            DaemonRow self,
            Clock clock,
            MonotonicClock monotonicClock,
            ScheduledExecutorService timer) {
        mHolder = holder;
        mFreshView = freshView;
        mTable = table;
        mCommits = commits;
        mDirectory = directory;
        mVersionClient = new PeerVersionClient(peers);
        mSelf = self;
        mClock = clock;
        mMonotonicClock = monotonicClock;
        mTimer = timer;
    }

    @Override
    public void start() {
        mCheck =
                mTimer.scheduleWithFixedDelay(
                        this::queryPeersIfStale,
                        CHECK_PERIOD_MILLIS,
                        CHECK_PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        ScheduledFuture<?> check = mCheck;
        if (check != null) {
            check.cancel(false);
        }
    }

    /**
     * Applies the configuration row read from the table.
     *
     * @param startedMillis monotonicClock time at which the read began
     */
    public void onRow(Row row, long startedMillis) {
        Option<ConfigDocument> document = ConfigCodec.decode(row.value());
        document.peek(this::apply);
        // An unreadable row may hold a newer version, so it does not confirm the applied one.
        document.peek(decoded -> mFreshView.recordCheck(startedMillis));
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigStatus>> put(
            ConfigDocument document, long expectedVersion) {
        return CompletableFuture.supplyAsync(this::readAndApply, mTimer)
                .thenCompose(
                        row ->
                                row.fold(
                                        this::refuse,
                                        found -> commit(document, expectedVersion, found)));
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigStatus>> status() {
        return trackRollout(mHolder.version(), STATUS_TIMEOUT_MILLIS).thenApply(Either::right);
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigDocument>> current() {
        return CompletableFuture.completedFuture(
                mHolder.document()
                        .toEither(
                                () ->
                                        Refusal.notRun(
                                                RefusalCode.NOT_FOUND, "no configuration yet")));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<ConfigDocument>>> history() {
        return CompletableFuture.supplyAsync(
                () ->
                        mTable.scan(ConfigCodec.HISTORY_PREFIX)
                                .bimap(
                                        error -> tableUnavailable(),
                                        ConfigurationService::decodeHistory),
                mTimer);
    }

    /** Handles a peer's call of type {@code CONFIG_VERSION}. */
    public CompletableFuture<byte[]> onVersionCall(byte[] payload) {
        VersionQuery query;
        try {
            query = MessageCodec.decode(payload, VersionQuery.class);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        return answerQuery(query).thenApply(MessageCodec::encode);
    }

    /** Answers a query, after a read of the table if the peer applies a newer version. */
    private CompletableFuture<VersionReply> answerQuery(VersionQuery query) {
        if (query.version() <= mHolder.version()) {
            return CompletableFuture.completedFuture(replyTo(query));
        }
        return CompletableFuture.supplyAsync(
                () -> {
                    readAndApply();
                    return replyTo(query);
                },
                mTimer);
    }

    private VersionReply replyTo(VersionQuery query) {
        Option<ConfigDocument> newer =
                mHolder.document().filter(document -> document.version() > query.version());
        return new VersionReply(
                mSelf.name(),
                mHolder.version(),
                mFreshView.current().isDefined(),
                newer.map(ConfigCodec::encode).getOrElse(() -> new byte[0]));
    }

    private Either<Refusal, Option<Row>> readAndApply() {
        long startedMillis = mMonotonicClock.millis();
        return mTable.read(List.of(ConfigDocument.ROW_KEY))
                .bimap(
                        error -> tableUnavailable(),
                        rows ->
                                Option.ofOptional(rows.stream().findFirst())
                                        .peek(row -> onRow(row, startedMillis)));
    }

    private CompletableFuture<Either<Refusal, ConfigStatus>> commit(
            ConfigDocument edited, long expectedVersion, Option<Row> row) {
        long newest =
                row.flatMap(found -> ConfigCodec.decode(found.value()))
                        .map(ConfigDocument::version)
                        .getOrElse(0L);
        if (expectedVersion != newest) {
            return refuse(versionConflict(newest));
        }
        ConfigDocument accepted = edited.withVersion(newest + 1, mClock.millis());
        byte[] value = ConfigCodec.encode(accepted);
        Transaction change =
                Transaction.create()
                        .check(
                                ConfigDocument.ROW_KEY,
                                row.map(Row::version).getOrElse(Transaction.ABSENT))
                        .put(ConfigDocument.ROW_KEY, value)
                        .put(ConfigCodec.historyKey(accepted.version()), value)
                        .delete(ConfigCodec.historyKey(accepted.version() - MAX_HISTORY_VERSIONS));
        return mCommits.commit(change, COMMIT_TIMEOUT_MILLIS)
                .thenCompose(result -> handleCommitResult(accepted, result));
    }

    private CompletableFuture<Either<Refusal, ConfigStatus>> handleCommitResult(
            ConfigDocument accepted, Either<TableError, Boolean> result) {
        if (result.isLeft()) {
            boolean conflict = result.getLeft().kind() == TableError.Kind.CONFLICT;
            return refuse(conflict ? versionConflict(accepted.version()) : tableUnavailable());
        }
        apply(accepted);
        return trackRollout(accepted.version(), ROLLOUT_TIMEOUT_MILLIS).thenApply(Either::right);
    }

    private CompletableFuture<ConfigStatus> trackRollout(long version, long timeoutMillis) {
        return new RolloutTracker(
                        version,
                        mSelf,
                        mDirectory,
                        mVersionClient,
                        mMonotonicClock,
                        mTimer,
                        timeoutMillis)
                .track();
    }

    private void queryPeersIfStale() {
        if (mFreshView.millisSinceCheck() < PEER_QUERY_AGE_MILLIS) {
            return;
        }
        long startedMillis = mMonotonicClock.millis();
        List<DaemonRow> peers =
                mDirectory.liveDaemons().stream()
                        .filter(daemon -> !daemon.name().equals(mSelf.name()))
                        .toList();
        if (peers.isEmpty() && !mDirectory.liveDaemons().isEmpty()) {
            // This is the only live daemon, so no other can have accepted a newer version.
            mFreshView.recordCheck(startedMillis);
        }
        for (DaemonRow daemon : peers) {
            CompletableFuture<Void> unused =
                    mVersionClient
                            .queryVersion(daemon, mHolder.version())
                            .thenAccept(reply -> handleVersionReply(reply, startedMillis));
        }
    }

    private void handleVersionReply(Either<CallError, VersionReply> reply, long startedMillis) {
        if (reply.isLeft()) {
            return;
        }
        byte[] document = reply.get().document();
        if (document.length > 0) {
            ConfigCodec.decode(document).peek(this::apply);
        }
        if (reply.get().fresh() && reply.get().version() <= mHolder.version()) {
            mFreshView.recordCheck(startedMillis);
        }
    }

    private void apply(ConfigDocument document) {
        if (mHolder.apply(new ResolvedConfig(document))) {
            LOG.log(LogEvent.CONFIG_APPLIED, document.version(), document.author());
        }
    }

    private CompletableFuture<Either<Refusal, ConfigStatus>> refuse(Refusal refusal) {
        return CompletableFuture.completedFuture(Either.left(refusal));
    }

    private static List<ConfigDocument> decodeHistory(List<Row> rows) {
        return rows.stream()
                .flatMap(row -> ConfigCodec.decode(row.value()).toJavaStream())
                .sorted(Comparator.comparingLong(ConfigDocument::version).reversed())
                .toList();
    }

    private static Refusal versionConflict(long newest) {
        return Refusal.notRun(
                RefusalCode.CONFLICT,
                "version: the configuration has changed, edit from version " + newest);
    }

    private static Refusal tableUnavailable() {
        return Refusal.retryLater(
                RefusalCode.TABLE_UNAVAILABLE,
                "the table service cannot be reached, and a configuration change needs it",
                RETRY_AFTER_MILLIS);
    }
}
