package org.hyssoprouter.daemon.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.daemon.request.RequestSchedulerFixture.SentRequest;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.errors.RefusalCode;
import org.hyssoprouter.errors.TableError;
import org.hyssoprouter.lib.HostState;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.transport.RequestOrder;
import org.hyssoprouter.transport.RequestReply;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestSchedulerTest {
    private static final long TIMEOUT_MILLIS = 20_000;

    private final RequestSchedulerFixture mFixture = new RequestSchedulerFixture();

    @AfterEach
    void stop() {
        mFixture.mTimer.shutdownNow();
    }

    @Test
    void sendsNoMoreRequestsThanTheExecutorHasSlots() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        CompletableFuture<RequestReply> first = scheduler.handle(order(null));
        var unused1 = scheduler.handle(order(null));
        CompletableFuture<RequestReply> third = scheduler.handle(order(null));
        await().until(() -> mFixture.sentCount() == RequestSchedulerFixture.SLOTS);
        awaitNextSent().answer("one");
        assertEquals("one", text(first));
        awaitNextSent();
        awaitNextSent().answer("three");
        assertEquals("three", text(third));
    }

    @Test
    void claimsKeyBeforeSendingAndRepeatsTheStoredReply() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        CompletableFuture<RequestReply> first = scheduler.handle(order("k"));
        SentRequest sent = awaitNextSent();
        assertEquals(1, mFixture.events().size());
        assertEquals(RefusalCode.IN_PROGRESS, code(scheduler.handle(order("k"))));
        sent.answer("done");
        assertEquals("done", text(first));
        assertEquals("done", text(scheduler.handle(order("k"))));
        assertEquals(0, mFixture.sentCount());
    }

    @Test
    void claimWithoutOutcomeIsMayHaveRunAfterRecovery() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        var unused2 = scheduler.handle(order("k"));
        awaitNextSent();
        RequestScheduler recovered = mFixture.startScheduler(mFixture.events());
        RequestReply reply = get(recovered.handle(order("k")));
        assertEquals(Verdict.MAY_HAVE_RUN, reply.verdict());
        assertEquals(0, mFixture.sentCount());
    }

    @Test
    void refusesAClaimWhileTheTableIsUnavailable() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        mFixture.mTableError = Option.some(TableError.unavailable("unavailable"));
        RequestReply reply = get(scheduler.handle(order("k")));
        assertEquals(Verdict.NOT_RUN, reply.verdict());
        assertEquals(RefusalCode.TABLE_UNAVAILABLE, refusalCode(reply));
        mFixture.mTableError = Option.none();
        CompletableFuture<RequestReply> retry = scheduler.handle(order("k"));
        awaitNextSent().answer("done");
        assertEquals("done", text(retry));
    }

    @Test
    void unknownOutcomeOccupiesItsSlotUntilTheExecutorReportsItFree() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        CompletableFuture<RequestReply> first = scheduler.handle(order(null));
        SentRequest sent = awaitNextSent();
        mFixture.mSlotsInUse.set(RequestSchedulerFixture.SLOTS);
        sent.fail(CallError.mayHaveRun(CallError.Kind.TIMEOUT, "no response"));
        assertEquals(Verdict.MAY_HAVE_RUN, get(first).verdict());
        var unused3 = scheduler.handle(order(null));
        var unused4 = scheduler.handle(order(null));
        awaitNextSent();
        assertEquals(0, mFixture.sentCount());
        mFixture.mSlotsInUse.set(0);
        assertNotNull(awaitNextSent());
    }

    // Guards against a request that crashes one executor after another.
    @Test
    void requestThatBreaksExecutorsIsSentTwiceAtMost() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        for (int i = 0; i < 20; i++) {
            CompletableFuture<RequestReply> other = scheduler.handle(order(null));
            awaitNextSent().answer("done");
            get(other);
        }
        CompletableFuture<RequestReply> reply = scheduler.handle(idempotent());
        for (int i = 0; i < 2; i++) {
            awaitNextSent().fail(CallError.mayHaveRun(CallError.Kind.BROKEN, "reset"));
        }
        assertEquals(Verdict.MAY_HAVE_RUN, get(reply).verdict());
        assertEquals(RefusalCode.EXECUTORS_LOST, refusalCode(get(reply)));
        assertEquals(0, mFixture.sentCount());
    }

    private RequestOrder idempotent() {
        return new RequestOrder(
                "idempotent",
                "lefain",
                "starter",
                TrafficClass.NORMAL,
                TIMEOUT_MILLIS,
                true,
                null,
                new byte[0]);
    }

    @Test
    void normalRequestIsSentBeforeQueuedBulkRequests() {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        for (int i = 0; i < 20; i++) {
            var unused = scheduler.handle(bulk());
        }
        awaitNextSent();
        RequestOrder normal = order(null);
        var unused = scheduler.handle(normal);
        assertEquals(normal.requestId(), awaitNextSent().execution().requestId());
    }

    private RequestOrder bulk() {
        return new RequestOrder(
                "bulk",
                "lefain",
                "starter",
                TrafficClass.BULK,
                TIMEOUT_MILLIS,
                true,
                null,
                new byte[1]);
    }

    @Test
    void leavingHostGetsNoRequests() throws Exception {
        mFixture.mHostState = HostState.LEAVING;
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        RequestReply reply = get(scheduler.handle(mFixture.order(null, "body", 300)));
        assertEquals(Verdict.NOT_RUN, reply.verdict());
        assertEquals(0, mFixture.sentCount());
    }

    @Test
    void quiesceWaitsForRequestsInFlightAndRefusesNewOnes() throws Exception {
        RequestScheduler scheduler = mFixture.startScheduler(List.of());
        CompletableFuture<RequestReply> running = scheduler.handle(order(null));
        SentRequest sent = awaitNextSent();
        CompletableFuture<Boolean> quiesced = scheduler.quiesce();
        assertEquals(RefusalCode.NO_OWNER, code(scheduler.handle(order(null))));
        assertFalse(quiesced.isDone());
        sent.answer("done");
        assertEquals("done", text(running));
        quiesced.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private RequestOrder order(@Nullable String key) {
        return mFixture.order(key, "body", TIMEOUT_MILLIS);
    }

    private SentRequest awaitNextSent() {
        return await().until(mFixture::nextSent, sent -> sent != null);
    }

    private static RefusalCode code(CompletableFuture<RequestReply> reply) throws Exception {
        return refusalCode(get(reply));
    }

    private static RefusalCode refusalCode(RequestReply reply) {
        assertNotNull(reply.refusal());
        return reply.refusal().code();
    }

    private static String text(CompletableFuture<RequestReply> reply) throws Exception {
        return new String(get(reply).body(), UTF_8);
    }

    private static RequestReply get(CompletableFuture<RequestReply> reply) throws Exception {
        return reply.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
