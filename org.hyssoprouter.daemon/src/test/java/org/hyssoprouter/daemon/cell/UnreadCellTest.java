package org.hyssoprouter.daemon.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.daemon.ownership.HostListView;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.Refusal;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.internal.config.ResolvedConfig;
import org.hyssoprouter.internal.ownership.DaemonRow;
import org.hyssoprouter.internal.ownership.OwnedShard;
import org.hyssoprouter.internal.ownership.ShardDirectory;
import org.hyssoprouter.internal.ownership.ShardRow;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.WorkKind;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.TableService;
import org.hyssoprouter.transport.Transaction;
import org.junit.jupiter.api.Test;

/** Answers of a daemon that has not read the cell's rows or the host list yet. */
class UnreadCellTest {
    private static final ShardRow SHARD =
            new ShardRow("s1", "south", "e1", "i", "127.0.0.1:1", 1, "", 0);

    private final HostListView mUnreadHosts =
            new HostListView(() -> Either.left(TableError.unavailable("no answer")));

    // An empty list or 'no such job' would say that the cell was read.
    @Test
    void nothingIsDeniedBeforeTheCellIsRead() {
        JobRouter jobs = newJobRouter(List.of());
        ClusterRouter cluster = newClusterRouter(List.of());
        assertNotReady(jobs.list(""));
        assertNotReady(jobs.view("job"));
        assertNotReady(jobs.explain("job"));
        assertNotReady(jobs.cancel("job"));
        assertNotReady(cluster.shards());
        assertNotReady(cluster.hosts());
        assertNotReady(cluster.drain("worker", true));
    }

    @Test
    void noWorkerIsDeniedBeforeTheHostListIsRead() {
        ClusterRouter cluster = newClusterRouter(List.of(SHARD));
        assertNotReady(cluster.hosts());
        assertNotReady(cluster.drain("worker", true));
        assertTrue(cluster.shards().join().isRight());
    }

    @Test
    void jobIsNotRefusedForeverBeforeTheHostListIsRead() {
        JobSpec spec =
                new JobSpec(
                        "job",
                        "ana",
                        WorkKind.BATCH,
                        TrafficClass.NORMAL,
                        1,
                        new Room(1, 1, 0),
                        0,
                        1,
                        null,
                        "run");
        assertNotReady(newJobRouter(List.of(SHARD)).submit(spec));
    }

    private static <T> void assertNotReady(CompletableFuture<Either<Refusal, T>> answer) {
        Either<Refusal, T> result = answer.join();
        assertTrue(result.isLeft(), result::toString);
        assertEquals(RefusalCode.NOT_READY, result.getLeft().code(), result.getLeft().message());
        assertTrue(result.getLeft().retryAfterMillis() > 0);
    }

    private JobRouter newJobRouter(List<ShardRow> shards) {
        ShardDirectory directory = new Directory(shards);
        ResolvedConfig config =
                new ResolvedConfig(
                        new ConfigDocument(
                                1,
                                "author",
                                0,
                                new ConfigDocument.Defaults(
                                        1, Room.NONE, 1, 1, 50, 10, 60_000, 1_000),
                                List.of(new ConfigDocument.Customer("ana", "south")),
                                List.of()));
        return new JobRouter(
                directory,
                newOwners(directory),
                new HomeShardSelector(directory, mUnreadHosts, new LoadDigestCache()),
                () -> Option.some(config),
                (transaction, withinMillis) -> new CompletableFuture<>(),
                new NoTable(),
                Runnable::run);
    }

    private ClusterRouter newClusterRouter(List<ShardRow> shards) {
        ShardDirectory directory = new Directory(shards);
        return new ClusterRouter(directory, newOwners(directory), mUnreadHosts);
    }

    private static ShardOwnerClient newOwners(ShardDirectory directory) {
        PeerTransport unreachable =
                (address, type, trafficClass, payload, timeoutMillis) ->
                        CompletableFuture.completedFuture(
                                Either.left(
                                        CallError.notRun(
                                                CallError.Kind.UNREACHABLE, "cannot connect")));
        return new ShardOwnerClient(directory, unreachable);
    }

    private record Directory(List<ShardRow> shards) implements ShardDirectory {
        @Override
        public List<DaemonRow> liveDaemons() {
            return List.of();
        }

        @Override
        public Option<OwnedShard> ownedShard(String shard) {
            return Option.none();
        }
    }

    private static final class NoTable implements TableService {
        @Override
        public Either<TableError, List<Row>> read(Collection<String> keys) {
            return Either.left(TableError.unavailable("no answer"));
        }

        @Override
        public Either<TableError, List<Row>> scan(String prefix) {
            return Either.left(TableError.unavailable("no answer"));
        }

        @Override
        public Either<TableError, Long> commit(Transaction transaction) {
            return Either.left(TableError.unavailable("no answer"));
        }
    }
}
