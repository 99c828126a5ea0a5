package org.hyssoprouter.daemon.distribution;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hyssoprouter.daemon.log.EventLogger;
import org.hyssoprouter.daemon.log.LogEvent;
import org.hyssoprouter.daemon.metrics.WorkflowMeters;
import org.hyssoprouter.daemon.ownership.SerialExecutor;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.workflow.PoolConfig;
import org.hyssoprouter.lib.workflow.QueuePolicy;
import org.hyssoprouter.lib.workflow.WorkspacePolicy;
import org.hyssoprouter.transport.PartitionTable;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MessageCodec;
import org.hyssoprouter.util.MonotonicClock;
import org.hyssoprouter.util.Service;

/**
 * Keeps this host's configuration the newest one: reads it from the table store or asks another
 * host for what has changed, and answers hosts that ask this one. See docs/design/distribution.md.
 *
 * @since 0.3
 */
public final class ConfigDistributor implements Service {
    private static final EventLogger LOG = EventLogger.of(ConfigDistributor.class);

    /** Age from which on another host's version is no longer taken for the newest. */
    static final long MAX_SOURCE_AGE_MILLIS = 1_500;

    /** Time for which the store holds back an answer to a host that reads for itself only. */
    private static final long STORE_WAIT_MILLIS = 1_000;

    /** The same for a reader, on whose calls the age of all versions in its region depends. */
    private static final long READER_STORE_WAIT_MILLIS = 500;

    private static final long STORE_PAUSE_MILLIS = 20;

    /** Time for which a starting host waits for the list of members. */
    private static final long MEMBERS_WAIT_MILLIS = 1_500;

    private static final long MEMBERS_POLL_MILLIS = 10;
    private static final long STOP_TIMEOUT_MILLIS = 200;

    private final Ports mPorts;
    private final ConfigRowReader mRowReader;
    private final PeerConfigReader mPeerReader;
    private final SourceSelector mSelector;
    private final int mMinHosts;
    private final long mStartMillis;
    private final ConfigResponder mResponder;
    private volatile PoolConfig mCurrent = PoolConfig.NONE;
    private volatile long mConfirmedMillis;
    private volatile boolean mConfirmed;
    private volatile boolean mStopped;

    /** Version of the store up to which changes are included; negative before the first read. */
    private long mPosition = -1;

    /** Whether the answer of a main source is awaited, or the pause after it. */
    private boolean mMainCalled;

    /** Number of the last step; the timers of earlier ones do nothing. */
    private long mStepCount;

    private boolean mWholeNeeded;
    private boolean mStoreFailing;
    private String mSource = "";
    private String mLastFailure = "";

    /**
     * Adapters that the distributor works with.
     *
     * @param table table store
     * @param tableName table of the configuration's row, whose partition has an empty name
     * @param key key of the row
     * @param decoder decodes the row; none if it is unreadable, which the decoder logs
     * @param hosts returns the known hosts including this one; empty before the first read
     * @param peers transport to the other hosts
     * @param thread runs all work of the distributor
     * @param clock steady clock
     * @param meters counters
     * @param consumer receives each version that is applied, on the thread
     */
    public record Ports(
            PartitionTable table,
            String tableName,
            String key,
            Function<byte[], Option<PoolConfig>> decoder,
            Supplier<List<ConfigHost>> hosts,
            PeerTransport peers,
            SerialExecutor thread,
            MonotonicClock clock,
            WorkflowMeters meters,
            Consumer<PoolConfig> consumer) {}

    /**
     * Creates a distributor.
     *
     * @param self name of this host
     * @param minHosts number of hosts in a region from which on they share a reader; 0 if each host
     *     always reads the store
     */
    public ConfigDistributor(Ports ports, String self, int minHosts) {
        mPorts = ports;
        mMinHosts = minHosts;
        mStartMillis = ports.clock().millis();
        mResponder =
                new ConfigResponder(
                        ports,
                        () -> new ConfigResponder.Position(mPosition, ageSinceStartMillis()));
        mRowReader = new ConfigRowReader(ports.table(), ports.tableName(), ports.key());
        mPeerReader = new PeerConfigReader(ports.peers());
        mSelector =
                new SourceSelector(
                        self, minHosts, new Random(self.hashCode())::nextDouble, mStartMillis);
    }

    @Override
    public void start() {
        mPorts.thread().execute(this::step);
    }

    @Override
    public void stop() {
        mStopped = true;
        mPorts.thread().shutdown(STOP_TIMEOUT_MILLIS);
    }

    /** Returns the applied configuration, or {@link PoolConfig#NONE} before the first one. */
    public PoolConfig current() {
        return mCurrent;
    }

    /**
     * Returns the time since the configuration in force was known to be the newest, from the table
     * store or through another host, in milliseconds; {@link Long#MAX_VALUE} before the first one.
     */
    public long ageMillis() {
        return mConfirmed ? mPorts.clock().millis() - mConfirmedMillis : Long.MAX_VALUE;
    }

    private long ageSinceStartMillis() {
        long sinceMillis = mConfirmed ? mConfirmedMillis : mStartMillis;
        return mPorts.clock().millis() - sinceMillis;
    }

    private void step() {
        if (mStopped) {
            return;
        }
        long nowMillis = mPorts.clock().millis();
        List<ConfigHost> hosts = mPorts.hosts().get();
        boolean waitsForMembers = nowMillis - mStartMillis < MEMBERS_WAIT_MILLIS;
        if (hosts.isEmpty() && mMinHosts > 0 && waitsForMembers) {
            mPorts.thread().schedule(this::step, MEMBERS_POLL_MILLIS);
            return;
        }
        SourceSelector.Choice choice = mSelector.choose(hosts, ageSinceStartMillis(), nowMillis);
        choice.beside().forEach(it -> ask(it, false, nowMillis));
        if (!mMainCalled) {
            choice.main().forEach(it -> ask(it, true, nowMillis));
        }
        long step = ++mStepCount;
        mPorts.thread()
                .schedule(
                        () -> {
                            if (step == mStepCount) {
                                step();
                            }
                        },
                        choice.pauseMillis());
    }

    /**
     * Asks a source.
     *
     * @param main whether the next main call follows its answer
     */
    private void ask(ConfigSource source, boolean main, long nowMillis) {
        mSelector.onCall(source);
        mMainCalled |= main;
        if (source.isStore()) {
            askStore(main, nowMillis);
        } else {
            askPeer(source, main, nowMillis);
        }
    }

    /** Goes on after an answer, or the failure of a call. */
    private void proceed(boolean main) {
        if (main) {
            mMainCalled = false;
        }
        step();
    }

    private void askStore(boolean main, long nowMillis) {
        long waitMillis = mSelector.isSharing() ? READER_STORE_WAIT_MILLIS : STORE_WAIT_MILLIS;
        boolean whole = mPosition < 0;
        CompletableFuture<Either<TableError, ConfigRowReader.Reading>> read =
                whole ? mRowReader.read() : mRowReader.poll(mPosition, waitMillis);
        CompletableFuture<Void> unused =
                read.exceptionally(e -> Either.left(TableError.unavailable(String.valueOf(e))))
                        .thenAccept(
                                result ->
                                        mPorts.thread()
                                                .execute(
                                                        () ->
                                                                onStoreResult(
                                                                        result,
                                                                        main,
                                                                        nowMillis,
                                                                        whole ? 0 : waitMillis)));
    }

    private void onStoreResult(
            Either<TableError, ConfigRowReader.Reading> result,
            boolean main,
            long sentMillis,
            long waitMillis) {
        if (result.isLeft()) {
            handleStoreFailure(result.getLeft(), sentMillis);
            proceed(main);
            return;
        }
        long nowMillis = mPorts.clock().millis();
        ConfigRowReader.Reading reading = result.get();
        if (mStoreFailing) {
            mStoreFailing = false;
            LOG.log(LogEvent.TABLE_REACHABLE, mPorts.tableName(), reading.position());
        }
        byte[] row = reading.row();
        mPorts.meters().recordConfigCall("store", row == null ? "none" : "row");
        mPosition = Math.max(mPosition, reading.position());
        if (row == null) {
            // The store has answered at the end of the wait, which began after the call was sent.
            handleSuccess(ConfigSource.STORE, Math.min(sentMillis + waitMillis, nowMillis));
        } else {
            applyRow(row, sentMillis);
        }
        mPorts.thread().schedule(() -> proceed(main), STORE_PAUSE_MILLIS);
    }

    private void applyRow(byte[] row, long sentMillis) {
        mPorts.meters().recordConfigBytes("store", row.length);
        Option<PoolConfig> config = mPorts.decoder().apply(row).map(ConfigDistributor::sort);
        if (config.isEmpty()) {
            handleFailure(ConfigSource.STORE, sentMillis, "unreadable row");
            return;
        }
        if (config.get().version() > mCurrent.version()) {
            apply(reuse(config.get()), ConfigSource.STORE, "row", row.length, sentMillis);
        }
        handleSuccess(ConfigSource.STORE, sentMillis);
    }

    /** Sorts by name, so that changes to a version lead to an equal one. */
    private static PoolConfig sort(PoolConfig config) {
        List<QueuePolicy> queues = new ArrayList<>(config.queues());
        queues.sort(Comparator.comparing(QueuePolicy::name));
        List<WorkspacePolicy> workspaces = new ArrayList<>(config.workspaces());
        workspaces.sort(Comparator.comparing(WorkspacePolicy::name));
        return new PoolConfig(config.version(), queues, config.pools(), workspaces);
    }

    /** Shares the unchanged parts with the version in force, which stays in the history. */
    private PoolConfig reuse(PoolConfig config) {
        return ConfigChanges.since(mCurrent, config).applyTo(mCurrent).getOrElse(config);
    }

    private void handleStoreFailure(TableError error, long sentMillis) {
        if (error.kind() == TableError.Kind.CONFLICT) {
            // The store has dropped its history; the row is read as a whole.
            mPosition = -1;
            mSelector.onSuccess(ConfigSource.STORE, mPorts.clock().millis());
            return;
        }
        mPorts.meters().recordConfigCall("store", "failed");
        if (!mStoreFailing) {
            mStoreFailing = true;
            LOG.log(LogEvent.TABLE_UNREACHABLE, mPorts.tableName(), error.message());
        }
        handleFailure(ConfigSource.STORE, sentMillis, error.message());
    }

    private void askPeer(ConfigSource source, boolean main, long nowMillis) {
        PeerConfigReader.Question question =
                mPeerReader.question(source, mCurrent.version(), nowMillis);
        CompletableFuture<Void> unused =
                mPeerReader
                        .ask(question, mWholeNeeded, mSelector.failureCount(source))
                        .thenAccept(
                                reply ->
                                        mPorts.thread()
                                                .execute(
                                                        () -> {
                                                            onPeerReply(question, reply);
                                                            proceed(main);
                                                        }));
    }

    private void onPeerReply(PeerConfigReader.Question question, Either<CallError, byte[]> result) {
        ConfigSource source = question.source();
        if (result.isLeft()) {
            mPorts.meters().recordConfigCall("peer", "failed");
            handleFailure(source, question.sentMillis(), result.getLeft().message());
            return;
        }
        try {
            handleReply(question, MessageCodec.decode(result.get(), ConfigReply.class));
        } catch (IOException e) {
            LOG.log(LogEvent.ROW_UNREADABLE, "configuration from " + source.name(), e.getMessage());
            handleFailure(source, question.sentMillis(), "unreadable reply");
        }
    }

    private void handleReply(PeerConfigReader.Question question, ConfigReply reply)
            throws IOException {
        ConfigSource source = question.source();
        long sentMillis = question.sentMillis();
        int bytes = reply.changes().length;
        mPorts.meters().recordConfigCall("peer", bytes == 0 ? "none" : "changes");
        mPorts.meters().recordConfigBytes("peer", bytes);
        if (reply.version() < question.version()) {
            LOG.log(
                    LogEvent.OLDER_CONFIG_REFUSED,
                    reply.version(),
                    mCurrent.version(),
                    source.name());
            handleFailure(source, sentMillis, "holds an older version");
            return;
        }
        if (question.version() < mCurrent.version() && reply.version() != mCurrent.version()) {
            // Another source has answered meanwhile, so that these changes do not apply.
            mSelector.onSuccess(source, mPorts.clock().millis());
            return;
        }
        long confirmedMillis = sentMillis + reply.heldMillis() - reply.ageMillis();
        if (reply.version() > mCurrent.version()) {
            Option<byte[]> received = question.parts().add(reply);
            if (received.isEmpty()) {
                // The next call continues with the rest.
                mSelector.onSuccess(source, mPorts.clock().millis());
                return;
            }
            ConfigChanges changes = ConfigChanges.decode(received.get());
            Option<PoolConfig> config = changes.applyTo(mCurrent);
            if (config.isEmpty() || config.get().version() != reply.version()) {
                mWholeNeeded = true;
                handleFailure(source, sentMillis, "changes do not start at the version in force");
                return;
            }
            String kind = changes.baseVersion() == 0 ? "whole" : "changes";
            apply(config.get(), source, kind, reply.totalBytes(), confirmedMillis);
        }
        mWholeNeeded = false;
        mPosition = Math.max(mPosition, reply.position());
        if (reply.ageMillis() > MAX_SOURCE_AGE_MILLIS) {
            confirm(confirmedMillis);
            handleFailure(source, sentMillis, "not confirmed for " + reply.ageMillis() + " ms");
        } else {
            handleSuccess(source, confirmedMillis);
        }
    }

    private void apply(
            PoolConfig config, ConfigSource source, String kind, int bytes, long confirmedMillis) {
        mResponder.add(config);
        mCurrent = config;
        mPeerReader.clear();
        LOG.log(
                LogEvent.CONFIG_RECEIVED,
                config.version(),
                source.name(),
                kind,
                bytes,
                mPorts.clock().millis() - confirmedMillis);
        LOG.log(LogEvent.CONFIG_APPLIED, config.version(), "operator");
        mPorts.consumer().accept(config);
    }

    private void confirm(long millis) {
        mConfirmedMillis = mConfirmed ? Math.max(mConfirmedMillis, millis) : millis;
        mConfirmed = true;
        mResponder.answerWaiting();
    }

    private void handleSuccess(ConfigSource source, long confirmedMillis) {
        confirm(confirmedMillis);
        mSelector.onSuccess(source, mPorts.clock().millis());
        if (source.name().equals(mSource)) {
            return;
        }
        if (mSource.isEmpty()) {
            LOG.log(
                    LogEvent.CONFIG_SOURCE_CHOSEN,
                    source.name(),
                    mSelector.rank(),
                    mPorts.hosts().get().size());
        } else {
            LOG.log(LogEvent.CONFIG_SOURCE_CHANGED, mSource, source.name(), mLastFailure);
        }
        mSource = source.name();
        mLastFailure = "";
    }

    private void handleFailure(ConfigSource source, long sentMillis, String reason) {
        mLastFailure = source.name() + ": " + reason;
        long nowMillis = mPorts.clock().millis();
        int failures = mSelector.onFailure(source, nowMillis);
        LOG.log(
                LogEvent.CONFIG_SOURCE_FAILED,
                source.name(),
                failures,
                nowMillis - sentMillis,
                ageSinceStartMillis(),
                reason);
    }

    /** Answers a host that asks for what has changed; the reply may be held back. */
    public CompletableFuture<byte[]> handleRequest(byte[] payload) {
        CompletableFuture<byte[]> reply = new CompletableFuture<>();
        try {
            ConfigRequest request = MessageCodec.decode(payload, ConfigRequest.class);
            mPorts.thread().execute(() -> mResponder.handle(request, reply));
        } catch (IOException e) {
            reply.completeExceptionally(e);
        }
        return reply;
    }
}
