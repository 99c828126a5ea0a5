package org.hyssoprouter.standin.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.standin.DelayScheduler;
import org.hyssoprouter.standin.FaultMerger;
import org.hyssoprouter.standin.StandinHandler;
import org.hyssoprouter.standin.StandinRequest;
import org.hyssoprouter.standin.StandinResponse;
import org.hyssoprouter.standin.StandinResponse.Delivery;
import org.hyssoprouter.transport.Row;
import org.hyssoprouter.transport.Transaction;
import org.hyssoprouter.util.MonotonicClock;

/**
 * HTTP API of the simulated platform: table, object store, host list, statistics and fault
 * settings.
 *
 * @since 0.1
 */
public final class PlatformEndpoint implements StandinHandler {
    private static final int MAX_VALUE_BYTES = 256 << 10;

    private final PlatformCounters mCounters = new PlatformCounters();
    private final MemoryTable mTable = new MemoryTable(mCounters);
    private final ConcurrentHashMap<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private final HostRegistry mRegistry;
    private final DelayScheduler mDelayScheduler;
    private PlatformFaults mFaults = PlatformFaults.NONE;

    /**
     * Creates a platform with an empty table and an empty object store.
     *
     * @param group event loops for delays
     * @param clock clock for the lag of the host list
     * @param hosts initial host list
     */
    public PlatformEndpoint(EventLoopGroup group, MonotonicClock clock, List<HostInfo> hosts) {
        mDelayScheduler = new DelayScheduler(group);
        mRegistry = new HostRegistry(clock, hosts);
    }

    @Override
    public CompletableFuture<StandinResponse> handle(StandinRequest request) throws IOException {
        PlatformFaults faults = currentFaults();
        return switch (request.segment(0)) {
            case "table", "objects" ->
                    faults.outage()
                            ? mDelayScheduler.completeAfter(
                                    faults.delayMillis(), StandinResponse.empty(503))
                            : handleStoreCall(request, faults.delayMillis());
            case "hosts" -> completed(handleHostCall(request, faults));
            case "stats" -> completed(StandinResponse.json(200, mCounters.stats()));
            case "faults" -> {
                updateFaults(request.body());
                yield completed(StandinResponse.empty(204));
            }
            default -> completed(StandinResponse.empty(404));
        };
    }

    private static CompletableFuture<StandinResponse> completed(StandinResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    private synchronized PlatformFaults currentFaults() {
        return mFaults;
    }

    private synchronized void updateFaults(byte[] json) throws IOException {
        mFaults = FaultMerger.merge(mFaults, json, PlatformFaults.class);
    }

    /** Decrements the number of replies to lose; returns false if it is already 0. */
    private synchronized boolean consumeLostReply() {
        int remaining = mFaults.loseReplies();
        if (remaining <= 0) {
            return false;
        }
        mFaults = mFaults.withLoseReplies(remaining - 1);
        return true;
    }

    /** Executes a call immediately and delays its response, so that a delayed response is stale. */
    private CompletableFuture<StandinResponse> handleStoreCall(
            StandinRequest request, long delayMillis) throws IOException {
        return switch (request.route()) {
            case "POST /table/read" -> {
                List<Row> rows = mTable.read(request.json(ReadBody.class).keys());
                yield mDelayScheduler.completeAfter(
                        delayMillis, StandinResponse.json(200, new Rows(rows)));
            }
            case "POST /table/scan" -> {
                List<Row> rows = mTable.scan(request.json(ScanBody.class).prefix());
                yield mDelayScheduler.completeAfter(
                        delayMillis, StandinResponse.json(200, new Rows(rows)));
            }
            case "POST /table/commit" -> commit(request.json(Transaction.class), delayMillis);
            default -> mDelayScheduler.completeAfter(delayMillis, handleObjectCall(request));
        };
    }

    private CompletableFuture<StandinResponse> commit(Transaction transaction, long delayMillis) {
        for (Transaction.Write write : transaction.writes()) {
            byte[] value = write.value();
            if (value != null && value.length > MAX_VALUE_BYTES) {
                String message =
                        write.key()
                                + ": value of "
                                + value.length
                                + " bytes exceeds the limit of "
                                + MAX_VALUE_BYTES;
                return mDelayScheduler.completeAfter(
                        delayMillis, StandinResponse.text(413, message));
            }
        }
        if (consumeLostReply()) {
            mDelayScheduler.schedule(
                    currentFaults().lateWriteMillis(), () -> mTable.commit(transaction));
            StandinResponse dropped = StandinResponse.empty(200).withDelivery(Delivery.DROPPED);
            return mDelayScheduler.completeAfter(delayMillis, dropped);
        }
        MemoryTable.CommitOutcome outcome = mTable.commit(transaction);
        String conflictKey = outcome.conflictKey();
        StandinResponse response =
                conflictKey == null
                        ? StandinResponse.json(200, new Committed(outcome.version()))
                        : StandinResponse.json(409, new Conflict(conflictKey));
        return mDelayScheduler.completeAfter(delayMillis, response);
    }

    private StandinResponse handleObjectCall(StandinRequest request) {
        String key = request.segment(1);
        return switch (request.method()) {
            case "PUT" -> {
                mCounters.addObjectWrite();
                mObjects.put(key, request.body());
                yield StandinResponse.empty(204);
            }
            case "GET" -> {
                mCounters.addObjectRead();
                byte[] content = mObjects.get(key);
                yield content == null
                        ? StandinResponse.empty(404)
                        : StandinResponse.of(200, content);
            }
            case "DELETE" -> {
                mCounters.addObjectWrite();
                mObjects.remove(key);
                yield StandinResponse.empty(204);
            }
            default -> StandinResponse.empty(405);
        };
    }

    private StandinResponse hostList(StandinRequest request, long lagMillis) {
        StandinResponse response = StandinResponse.json(200, new Hosts(mRegistry.list(lagMillis)));
        String entityTag = "\"" + Integer.toHexString(Arrays.hashCode(response.body())) + "\"";
        boolean isUnmodified = request.header("If-None-Match").equals(entityTag);
        return isUnmodified ? StandinResponse.empty(304) : response.withHeader("ETag", entityTag);
    }

    private StandinResponse handleHostCall(StandinRequest request, PlatformFaults faults)
            throws IOException {
        if (request.method().equals("GET")) {
            return faults.hostListOutage()
                    ? StandinResponse.empty(503)
                    : hostList(request, faults.hostListLagMillis());
        }
        String worker = request.segment(1);
        if (worker.isEmpty()) {
            mRegistry.put(request.json(HostInfo.class));
            return StandinResponse.empty(204);
        }
        boolean hostExists =
                switch (request.segment(2)) {
                    case "leave" -> mRegistry.markLeaving(worker);
                    case "remove" -> mRegistry.remove(worker);
                    default -> false;
                };
        return StandinResponse.empty(hostExists ? 204 : 404);
    }

    private record ReadBody(List<String> keys) {}

    private record ScanBody(String prefix) {}

    private record Rows(List<Row> rows) {}

    private record Committed(long version) {}

    private record Conflict(String key) {}

    private record Hosts(List<HostInfo> hosts) {}
}
