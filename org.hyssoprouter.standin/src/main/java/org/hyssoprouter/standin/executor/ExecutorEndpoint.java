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
 * HTTP form of an executor.
 *
 * @since 0.1
 */
public final class ExecutorEndpoint implements StandinHandler {
    private static final String REFUSED_HEADER = "Hyssop-Refused";

    private final ExecutorState mState;
    private final ExecutorFaultState mFaults = new ExecutorFaultState();
    private final DelayScheduler mDelayScheduler;

    /**
     * Creates an idle executor.
     *
     * @param group event loops for delays
     * @param executor name
     * @param slots requests that may run at once
     * @param connections connections that may be open at once
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
                SimulatedRequest body = SimulatedRequest.parse(request.body());
                RequestFault fate = mFaults.nextRequestFault();
                yield mDelayScheduler.supplyAfter(
                        fate.delayMillis(), () -> execute(request, body, fate));
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
            StandinRequest request, SimulatedRequest body, RequestFault fate) {
        long epoch = Long.parseLong(request.header("Hyssop-Epoch"));
        if (!mState.acceptEpoch(request.header("Hyssop-Shard"), epoch)) {
            return completed(refusal(409, "epoch"));
        }
        if (fate.outcome() == Outcome.REFUSED) {
            return completed(refusal(429, "slots"));
        }
        if (fate.outcome() == Outcome.CUT_BEFORE_RUN) {
            return completed(StandinResponse.empty(200).withDelivery(Delivery.DROPPED));
        }
        mState.startRun(request.header("Hyssop-Request-Id"), body.key());
        return mDelayScheduler.supplyAfter(
                body.workMillis(),
                () -> {
                    mState.endRun();
                    return completed(responseFor(body, fate));
                });
    }

    private static StandinResponse responseFor(SimulatedRequest body, RequestFault fate) {
        StandinResponse answer = StandinResponse.of(fate.fails() ? 500 : 200, body.responseBody());
        return switch (fate.outcome()) {
            case CUT_AFTER_RUN -> answer.withDelivery(Delivery.DROPPED);
            case CUT_IN_ANSWER -> answer.withDelivery(Delivery.TRUNCATED);
            default -> answer;
        };
    }

    private static StandinResponse refusal(int status, String reason) {
        return StandinResponse.empty(status).withHeader(REFUSED_HEADER, reason);
    }

    private record Slots(int inUse) {}
}
