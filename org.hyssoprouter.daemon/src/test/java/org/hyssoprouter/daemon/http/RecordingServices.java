package org.hyssoprouter.daemon.http;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.internal.config.ConfigDocument.Customer;
import org.hyssoprouter.internal.config.ConfigDocument.Defaults;
import org.hyssoprouter.internal.config.ResolvedConfig;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobState;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;

/** Services that record the requests and writes that they receive. */
final class RecordingServices
        implements JobService, ConfigService, ClusterService, RequestObserver {
    static final ConfigDocument DOCUMENT =
            new ConfigDocument(
                    3,
                    "ana",
                    0,
                    new Defaults(1, new Room(1, 1, 0), 10, 10, 50, 10, 60_000, 2_000),
                    List.of(new Customer("guild", "uva")),
                    List.of());

    final List<RequestOrder> mOrders = new CopyOnWriteArrayList<>();
    final List<Object> mWrites = new CopyOnWriteArrayList<>();
    volatile Runnable mOnRoute = () -> {};
    volatile CompletableFuture<RequestReply> mReply =
            CompletableFuture.completedFuture(RequestReply.ran(207, new byte[] {1, 2}));
    volatile boolean mServing = true;

    ApiServices services() {
        return new ApiServices(
                this::route,
                this,
                this,
                this,
                () -> Option.some(new ResolvedConfig(DOCUMENT)),
                () -> mServing,
                this);
    }

    private CompletableFuture<RequestReply> route(RequestOrder order) {
        mOrders.add(order);
        CompletableFuture<RequestReply> reply = mReply;
        mOnRoute.run();
        return reply;
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> submit(JobSpec spec) {
        mWrites.add(spec);
        return completed(new JobView(spec, "uva-a", JobState.PENDING, "", 0, 0, List.of()));
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> cancel(String id) {
        mWrites.add(id);
        return view(id);
    }

    @Override
    public CompletableFuture<Either<Refusal, JobView>> view(String id) {
        return refused(Refusal.notRun(RefusalCode.NOT_FOUND, "no job with id " + id));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<JobView>>> list(String customer) {
        return completed(List.of());
    }

    @Override
    public CompletableFuture<Either<Refusal, JobExplanation>> explain(String id) {
        return completed(new JobExplanation(id, "pending", List.of()));
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigDocument>> current() {
        return completed(DOCUMENT);
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigStatus>> put(
            ConfigDocument document, long expectedVersion) {
        mWrites.add(expectedVersion);
        return completed(new ConfigStatus(expectedVersion + 1, false, List.of("a"), List.of("b")));
    }

    @Override
    public CompletableFuture<Either<Refusal, ConfigStatus>> status() {
        return completed(new ConfigStatus(3, true, List.of("a"), List.of()));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<ConfigDocument>>> history() {
        return completed(List.of(DOCUMENT));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<ShardStatus>>> shards() {
        return completed(List.of(new ShardStatus("uva-a", "uva", "e1", 4, true)));
    }

    @Override
    public CompletableFuture<Either<Refusal, List<HostStatus>>> hosts() {
        return completed(List.of());
    }

    @Override
    public CompletableFuture<Either<Refusal, HostStatus>> drain(String worker, boolean drained) {
        mWrites.add(worker);
        return refused(Refusal.notRun(RefusalCode.NOT_FOUND, "no worker named " + worker));
    }

    @Override
    public void recordReply(RequestOrder order, RequestReply reply, long nanos) {}

    @Override
    public String scrape() {
        return "meters";
    }

    @Override
    public List<TopEntry> top() {
        return List.of();
    }

    private static <T> CompletableFuture<Either<Refusal, T>> completed(T value) {
        return CompletableFuture.completedFuture(Either.right(value));
    }

    private static <T> CompletableFuture<Either<Refusal, T>> refused(Refusal refusal) {
        return CompletableFuture.completedFuture(Either.left(refusal));
    }
}
