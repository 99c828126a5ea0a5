package org.hyssoprouter.daemon.request;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.ConfigView;
import org.hyssoprouter.internal.config.CustomerPolicy;
import org.hyssoprouter.internal.config.EffectiveConfig;
import org.hyssoprouter.internal.journal.EventLog;
import org.hyssoprouter.internal.journal.ShardEvent;
import org.hyssoprouter.internal.ownership.ShardContext;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.transport.ExecutorClient;
import org.hyssoprouter.transport.HostDirectory;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.util.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Creates request schedulers on fakes of the journal, the host list and the executors. Tests answer
 * the sent requests themselves.
 */
final class RequestSchedulerFixture implements ExecutorClient, HostDirectory, EventLog {
    static final String SHARD = "south-1";
    static final int SLOTS = 2;

    final List<ShardEvent> mEvents = new ArrayList<>();
    final Queue<SentRequest> mSent = new ArrayDeque<>();
    final AtomicLong mRevision = new AtomicLong(1);
    final AtomicInteger mSlotsInUse = new AtomicInteger();
    final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    volatile boolean mOwnershipConfirmed = true;
    volatile HostState mHostState = HostState.LIVE;
    volatile Option<TableError> mTableError = Option.none();
    private final AtomicInteger mLastId = new AtomicInteger();

    record SentRequest(Execution execution, CompletableFuture<Either<CallError, Answer>> result) {
        void answer(String text) {
            result.complete(Either.right(new Answer(200, text.getBytes(UTF_8))));
        }

        void fail(CallError error) {
            result.complete(Either.left(error));
        }
    }

    RequestScheduler startScheduler(List<ShardEvent> history) {
        RequestScheduler scheduler =
                new RequestScheduler(
                        new ShardContext(SHARD, "south", 3, this, () -> mOwnershipConfirmed),
                        history,
                        this,
                        this,
                        config(),
                        Clock.systemUTC(),
                        MonotonicClock.system(),
                        mTimer);
        scheduler.start();
        return scheduler;
    }

    RequestOrder order(@Nullable String key, String body, long timeoutMillis) {
        return new RequestOrder(
                "r" + mLastId.incrementAndGet(),
                "lefain",
                "starter",
                TrafficClass.NORMAL,
                timeoutMillis,
                false,
                key,
                body.getBytes(UTF_8));
    }

    static ConfigView config() {
        CustomerPolicy policy =
                new CustomerPolicy(
                        "lefain", "south", 1, Room.NONE, 100, 1000, 50, 20, 3_600_000, 10_000);
        EffectiveConfig config =
                new EffectiveConfig() {
                    @Override
                    public long version() {
                        return 1;
                    }

                    @Override
                    public Option<CustomerPolicy> policyOf(String name) {
                        return name.equals("lefain") ? Option.some(policy) : Option.none();
                    }

                    @Override
                    public List<String> customerNames() {
                        return List.of("lefain");
                    }
                };
        return () -> Option.some(config);
    }

    synchronized @Nullable SentRequest nextSent() {
        return mSent.poll();
    }

    synchronized int sentCount() {
        return mSent.size();
    }

    @Override
    public synchronized CompletableFuture<Either<CallError, Answer>> execute(
            String address, Execution execution) {
        SentRequest sent = new SentRequest(execution, new CompletableFuture<>());
        mSent.add(sent);
        return sent.result();
    }

    @Override
    public CompletableFuture<Either<CallError, Integer>> slotsInUse(
            String address, String shard, long epoch) {
        return CompletableFuture.completedFuture(Either.right(mSlotsInUse.get()));
    }

    @Override
    public List<HostInfo> hostsOf(String shard) {
        ExecutorInfo executor = new ExecutorInfo("e1", "starter", "127.0.0.1:1", SLOTS, 64);
        return List.of(
                new HostInfo(
                        "w1",
                        "south",
                        SHARD,
                        "r1",
                        "127.0.0.1:2",
                        mHostState,
                        Room.NONE,
                        List.of(executor)));
    }

    @Override
    public List<HostInfo> hosts() {
        return hostsOf(SHARD);
    }

    @Override
    public long revision() {
        return mRevision.get();
    }

    @Override
    public synchronized CompletableFuture<Either<TableError, Boolean>> append(
            List<ShardEvent> events, long withinMillis) {
        if (mTableError.isDefined()) {
            return CompletableFuture.completedFuture(Either.left(mTableError.get()));
        }
        mEvents.addAll(events);
        return CompletableFuture.completedFuture(Either.right(true));
    }

    synchronized List<ShardEvent> events() {
        return List.copyOf(mEvents);
    }
}
