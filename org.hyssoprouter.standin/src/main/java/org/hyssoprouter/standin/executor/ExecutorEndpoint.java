package org.hyssoprouter.standin.executor;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.standin.Connection;
import org.hyssoprouter.standin.DelayScheduler;
import org.hyssoprouter.standin.StandinHandler;
import org.hyssoprouter.standin.StandinRequest;
import org.hyssoprouter.standin.StandinResponse;
import org.hyssoprouter.standin.StandinResponse.Delivery;
import org.hyssoprouter.standin.executor.ExecutorFaultState.Outcome;
import org.hyssoprouter.standin.executor.ExecutorFaultState.RequestFault;

/**
 * HTTP API of a simulated executor.
 *
 * @since 0.1
 */
public final class ExecutorEndpoint implements StandinHandler {
    private static final String REFUSED_HEADER = "Hyssop-Refused";

    private final ExecutorState mState;
    private final ExecutorFaultState mFaults = new ExecutorFaultState();
    private final DelayScheduler mDelayScheduler;

    /**
     * Creates an executor without running requests.
     *
     * @param group event loops for delays
     * @param executor name of the executor
     * @param slots number of requests that may run concurrently
     * @param connections number of connections that may be open concurrently
     */
    public ExecutorEndpoint(EventLoopGroup group, String executor, int slots, int connections) {
        mState = new ExecutorState(executor, slots, connections, Clock.systemUTC());
        mDelayScheduler = new DelayScheduler(group);
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
                mState.addConnection(request.connection());
                yield mFaults.isSilent() ? new CompletableFuture<>() : handleCall(request);
            }
        };
    }

    private static CompletableFuture<StandinResponse> completed(StandinResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    @Override
    public void onConnectionClosed(Connection connection) {
        mState.removeConnection(connection);
    }

    private void updateFaults(byte[] json) throws IOException {
        if (mFaults.update(json)) {
            mState.silenceConnections();
        }
    }

    private CompletableFuture<StandinResponse> handleCall(StandinRequest request) {
        return switch (request.route()) {
            case "POST /execute" -> {
                SimulatedRequest simulated = SimulatedRequest.parse(request.body());
                RequestFault fault = mFaults.nextRequestFault();
                yield mDelayScheduler.supplyAfter(
                        fault.delayMillis(), () -> execute(request, simulated, fault));
            }
            case "GET /slots" -> completed(querySlots(request));
            default -> completed(StandinResponse.empty(404));
        };
    }

    private StandinResponse querySlots(StandinRequest request) {
        long epoch = Long.parseLong(request.query("epoch"));
        if (!mState.acceptEpoch(request.query("shard"), epoch)) {
            return refusal(409, "epoch");
        }
        return StandinResponse.json(200, new Slots(mState.slotsInUse()));
    }

    private CompletableFuture<StandinResponse> execute(
            StandinRequest request, SimulatedRequest simulated, RequestFault fault) {
        long epoch = Long.parseLong(request.header("Hyssop-Epoch"));
        if (!mState.acceptEpoch(request.header("Hyssop-Shard"), epoch)) {
            return completed(refusal(409, "epoch"));
        }
        if (fault.outcome() == Outcome.REFUSED) {
            return completed(refusal(429, "slots"));
        }
        if (fault.outcome() == Outcome.CUT_BEFORE_RUN) {
            return completed(StandinResponse.empty(200).withDelivery(Delivery.DROPPED));
        }
        mState.startRun(request.header("Hyssop-Request-Id"), simulated.key());
        return mDelayScheduler.supplyAfter(
                simulated.workMillis(),
                () -> {
                    mState.endRun();
                    return completed(responseFor(simulated, fault));
                });
    }

    private static StandinResponse responseFor(SimulatedRequest simulated, RequestFault fault) {
        StandinResponse response =
                StandinResponse.of(fault.fails() ? 500 : 200, simulated.responseBody());
        return switch (fault.outcome()) {
            case CUT_AFTER_RUN -> response.withDelivery(Delivery.DROPPED);
            case CUT_IN_ANSWER -> response.withDelivery(Delivery.TRUNCATED);
            default -> response;
        };
    }

    private static StandinResponse refusal(int status, String reason) {
        return StandinResponse.empty(status).withHeader(REFUSED_HEADER, reason);
    }

    private record Slots(int inUse) {}
}
