package org.hyssoprouter.standin.executor;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import org.hyssoprouter.standin.Connection;
import org.hyssoprouter.standin.Delays;
import org.hyssoprouter.standin.StandinHandler;
import org.hyssoprouter.standin.StandinRequest;
import org.hyssoprouter.standin.StandinResponse;
import org.hyssoprouter.standin.StandinResponse.Delivery;
import org.hyssoprouter.standin.executor.FaultPlan.Ending;
import org.hyssoprouter.standin.executor.FaultPlan.Fate;

/**
 * HTTP form of an executor.
 *
 * @since 0.1
 */
public final class ExecutorEndpoint implements StandinHandler {
    private static final String REFUSED_HEADER = "Hyssop-Refused";

    private final ExecutorState mState;
    private final FaultPlan mFaults = new FaultPlan();
    private final Delays mDelays;

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
        mDelays = new Delays(group);
    }

    @Override
    public CompletableFuture<StandinResponse> handle(StandinRequest request) throws IOException {
        return switch (request.route()) {
            case "GET /history" -> done(StandinResponse.json(200, mState.history()));
            case "POST /faults" -> {
                order(request.body());
                yield done(StandinResponse.empty(204));
            }
            default -> {
                mState.opened(request.connection());
                yield mFaults.isSilent() ? new CompletableFuture<>() : call(request);
            }
        };
    }

    private static CompletableFuture<StandinResponse> done(StandinResponse response) {
        return CompletableFuture.completedFuture(response);
    }

    @Override
    public void closed(Connection connection) {
        mState.closed(connection);
    }

    private void order(byte[] json) throws IOException {
        if (mFaults.order(json)) {
            mState.silenceOpen();
        }
    }

    private CompletableFuture<StandinResponse> call(StandinRequest request) {
        return switch (request.route()) {
            case "POST /execute" -> {
                RequestBody body = RequestBody.parse(request.body());
                Fate fate = mFaults.next();
                yield mDelays.after(fate.delayMillis(), () -> execute(request, body, fate));
            }
            case "GET /slots" -> done(slots(request));
            default -> done(StandinResponse.empty(404));
        };
    }

    private StandinResponse slots(StandinRequest request) {
        long epoch = Long.parseLong(request.query("epoch"));
        if (!mState.admit(request.query("shard"), epoch)) {
            return refused(409, "epoch");
        }
        return StandinResponse.json(200, new Slots(mState.inUse()));
    }

    private CompletableFuture<StandinResponse> execute(
            StandinRequest request, RequestBody body, Fate fate) {
        long epoch = Long.parseLong(request.header("Hyssop-Epoch"));
        if (!mState.admit(request.header("Hyssop-Shard"), epoch)) {
            return done(refused(409, "epoch"));
        }
        if (fate.ending() == Ending.REFUSED) {
            return done(refused(429, "slots"));
        }
        if (fate.ending() == Ending.CUT_BEFORE_RUN) {
            return done(StandinResponse.empty(200).delivered(Delivery.CUT));
        }
        mState.begin(request.header("Hyssop-Request-Id"), body.key());
        return mDelays.after(
                body.workMillis(),
                () -> {
                    mState.end();
                    return done(answer(body, fate));
                });
    }

    private static StandinResponse answer(RequestBody body, Fate fate) {
        StandinResponse answer = StandinResponse.of(fate.fails() ? 500 : 200, body.answer());
        return switch (fate.ending()) {
            case CUT_AFTER_RUN -> answer.delivered(Delivery.CUT);
            case CUT_IN_ANSWER -> answer.delivered(Delivery.HALF);
            default -> answer;
        };
    }

    private static StandinResponse refused(int status, String reason) {
        return StandinResponse.empty(status).withHeader(REFUSED_HEADER, reason);
    }

    private record Slots(int inUse) {}
}
