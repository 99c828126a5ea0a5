package org.hyssoprouter.standin.worker;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Clock;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.standin.Connection;
import org.hyssoprouter.standin.DelayScheduler;
import org.hyssoprouter.standin.FaultMerger;
import org.hyssoprouter.standin.StandinHandler;
import org.hyssoprouter.standin.StandinRequest;
import org.hyssoprouter.standin.StandinResponse;
import org.hyssoprouter.transport.LeaseRenewal;
import org.hyssoprouter.transport.StartOrder;
import org.hyssoprouter.util.MonotonicClock;

/**
 * HTTP API of a simulated worker.
 *
 * @since 0.1
 */
public final class WorkerEndpoint implements StandinHandler {
    /** Interval at which ended tasks and expired leases are processed between calls. */
    private static final long ADVANCE_INTERVAL_MILLIS = 10;

    private static final String START_ROUTE = "POST /tasks";

    private final WorkerState mState;
    private final DelayScheduler mDelayScheduler;
    private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
    private volatile WorkerFaults mFaults = WorkerFaults.NONE;

    /**
     * Creates a worker without tasks.
     *
     * @param group event loops for delays and for periodic processing
     * @param clock monotonic clock of the worker
     * @param worker name of the worker
     * @param capacity capacity of the worker
     */
    public WorkerEndpoint(
            EventLoopGroup group, MonotonicClock clock, String worker, Room capacity) {
        mState = new WorkerState(worker, capacity, clock, Clock.systemUTC());
        mDelayScheduler = new DelayScheduler(group);
        var unused =
                group.scheduleWithFixedDelay(
                        mState::advance,
                        ADVANCE_INTERVAL_MILLIS,
                        ADVANCE_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<StandinResponse> handle(StandinRequest request) throws IOException {
        return switch (request.route()) {
            case "GET /history" -> completed(StandinResponse.json(200, mState.history()));
            case "POST /faults" -> {
                updateFaults(request.body());
                yield completed(StandinResponse.empty(204));
            }
            default -> {
                mConnections.add(request.connection());
                yield handleCall(request);
            }
        };
    }

    private static CompletableFuture<StandinResponse> completed(StandinResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    @Override
    public void onConnectionClosed(Connection connection) {
        mConnections.remove(connection);
    }

    private synchronized void updateFaults(byte[] json) throws IOException {
        WorkerFaults updated = FaultMerger.merge(mFaults, json, WorkerFaults.class);
        mFaults = updated.withoutSilenceOpen();
        if (updated.silenceOpen()) {
            mConnections.forEach(Connection::silence);
        }
    }

    private CompletableFuture<StandinResponse> handleCall(StandinRequest request)
            throws IOException {
        WorkerFaults faults = mFaults;
        if (faults.silent()) {
            return new CompletableFuture<>();
        }
        if (faults.failStarts() && request.route().equals(START_ROUTE)) {
            return mDelayScheduler.completeAfter(
                    faults.delayMillis(),
                    StandinResponse.text(500, "simulated failure (failStarts)"));
        }
        Call call = decode(request, faults);
        return mDelayScheduler.supplyAfter(
                faults.delayMillis(),
                () -> mDelayScheduler.completeAfter(faults.answerDelayMillis(), execute(call)));
    }

    private Call decode(StandinRequest request, WorkerFaults faults) throws IOException {
        return switch (request.route()) {
            case "POST /lease" -> {
                LeaseRenewal renewal = request.json(LeaseRenewal.class);
                yield () -> mState.renew(renewal);
            }
            case START_ROUTE -> {
                StartOrder start = request.json(StartOrder.class);
                yield () -> mState.start(start, faults.failTasks());
            }
            case "POST /tasks/stop" -> {
                StopOrder stop = request.json(StopOrder.class);
                yield () -> mState.stop(stop);
            }
            default -> throw new IllegalArgumentException("unknown call: " + request.route());
        };
    }

    private static StandinResponse execute(Call call) {
        try {
            return StandinResponse.json(200, call.run());
        } catch (RefusedException e) {
            return StandinResponse.text(409, String.valueOf(e.getMessage()));
        }
    }

    /** Decoded call, executed after its delay. */
    private interface Call {
        Object run() throws RefusedException;
    }
}
