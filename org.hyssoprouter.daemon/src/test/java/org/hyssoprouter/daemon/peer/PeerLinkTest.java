package org.hyssoprouter.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.TrafficClass;
import org.hyssoprouter.lib.Verdict;
import org.hyssoprouter.standin.process.FaultProxy;
import org.hyssoprouter.transport.PeerTransport;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerLinkTest {
    private static final int TYPE = 1;
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final int LARGE_BYTES = 3_000_001;

    /** Time in which a connection on loopback has been refused. */
    private static final long QUEUE_DELAY_MILLIS = 300;

    private final PeerLink mServer = new PeerLink("127.0.0.1:0", MonotonicClock.system());
    private final PeerLink mClient = new PeerLink("127.0.0.1:0", MonotonicClock.system());

    @AfterEach
    void stop() {
        mClient.stop();
        mServer.stop();
    }

    @Test
    void answersSmallAndLargeBodies() throws Exception {
        startServer((type, trafficClass, payload) -> CompletableFuture.completedFuture(payload));
        byte[] large = new byte[LARGE_BYTES];
        large[large.length - 1] = 7;
        assertArrayEquals(large, get(call(large)).get());
        assertArrayEquals(new byte[] {1}, get(call(new byte[] {1})).get());
        assertArrayEquals(new byte[0], get(call(new byte[0])).get());
    }

    @Test
    void matchesOutOfOrderAnswersToTheirCalls() throws Exception {
        Random random = new Random(41);
        List<Runnable> answers = Collections.synchronizedList(new ArrayList<>());
        startServer(
                (type, trafficClass, payload) -> {
                    CompletableFuture<byte[]> answer = new CompletableFuture<>();
                    answers.add(() -> answer.complete(payload));
                    return answer;
                });
        List<byte[]> bodies = new ArrayList<>();
        List<CompletableFuture<Either<CallError, byte[]>>> results = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int size = Integer.BYTES + (i % 10 == 0 ? random.nextInt(200_000) : 0);
            bodies.add(ByteBuffer.allocate(size).putInt(i).array());
            results.add(call(bodies.get(i)));
        }
        await().until(() -> answers.size() == bodies.size());
        Collections.shuffle(answers, random);
        answers.forEach(Runnable::run);
        for (int i = 0; i < bodies.size(); i++) {
            assertArrayEquals(bodies.get(i), get(results.get(i)).get());
        }
    }

    @Test
    void smallCallIsNotBlockedByLargeCalls() throws Exception {
        ConcurrentLinkedQueue<Integer> receivedSizes = new ConcurrentLinkedQueue<>();
        startServer(
                (type, trafficClass, payload) -> {
                    receivedSizes.add(payload.length);
                    return CompletableFuture.completedFuture(new byte[1]);
                });
        List<CompletableFuture<Either<CallError, byte[]>>> results = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            results.add(call(TrafficClass.NORMAL, new byte[LARGE_BYTES], LONG_TIMEOUT_MILLIS));
        }
        results.add(call(TrafficClass.NORMAL, new byte[1], LONG_TIMEOUT_MILLIS));
        for (CompletableFuture<Either<CallError, byte[]>> result : results) {
            get(result).get();
        }
        assertEquals(1, receivedSizes.peek());
    }

    @Test
    void absentPeerGivesNotRun() throws Exception {
        var result = mClient.call("127.0.0.1:1", TYPE, TrafficClass.NORMAL, new byte[1], 5000);
        CallError error = get(result).getLeft();
        assertEquals(Verdict.NOT_RUN, error.verdict());
        assertEquals(CallError.Kind.ABSENT, error.kind());
    }

    // Guards against an owner whose end goes unnoticed, as its host has refused the connection
    // before the call was queued.
    @Test
    void absentPeerIsNoticedHoweverLateTheCallIsQueued() throws Exception {
        Thread caller = Thread.currentThread();
        MonotonicClock clock =
                () -> {
                    // A new connection and then the call read the clock on the caller's thread.
                    if (Thread.currentThread().equals(caller)) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(QUEUE_DELAY_MILLIS));
                    }
                    return MonotonicClock.system().millis();
                };
        PeerLink slow = new PeerLink("127.0.0.1:0", clock);
        try {
            var result = slow.call("127.0.0.1:1", TYPE, TrafficClass.NORMAL, new byte[1], 5000);
            CallError error = get(result).getLeft();
            assertEquals(Verdict.NOT_RUN, error.verdict());
            assertEquals(CallError.Kind.ABSENT, error.kind());
        } finally {
            slow.stop();
        }
    }

    @Test
    void connectionLostAfterCallGivesMayHaveRun() throws Exception {
        startServer((type, trafficClass, payload) -> new CompletableFuture<>());
        try (FaultProxy proxy = new FaultProxy(mServer.port())) {
            var result =
                    call(proxy.address(), TrafficClass.NORMAL, new byte[1], LONG_TIMEOUT_MILLIS);
            await().until(() -> mServer.counters().receivedBytes() > 0);
            proxy.closeConnections();
            assertEquals(Verdict.MAY_HAVE_RUN, get(result).getLeft().verdict());
        }
    }

    @Test
    void truncatedCallFailsAndIsNotHandled() throws Exception {
        ConcurrentLinkedQueue<byte[]> handled = new ConcurrentLinkedQueue<>();
        startServer(
                (type, trafficClass, payload) -> {
                    handled.add(payload);
                    return CompletableFuture.completedFuture(payload);
                });
        try (FaultProxy proxy = new FaultProxy(mServer.port())) {
            proxy.closeAfterBytes(100_000);
            byte[] body = new byte[ChunkAssembler.MAX_BODY_BYTES];
            var result = call(proxy.address(), TrafficClass.NORMAL, body, LONG_TIMEOUT_MILLIS);
            // The client may have written the rest into socket buffers, so NOT_RUN and MAY_HAVE_RUN
            // are both correct, but not RAN.
            assertTrue(get(result).isLeft());
            assertTrue(handled.isEmpty());
        }
    }

    @Test
    void silentConnectionIsClosedAndReplaced() throws Exception {
        startServer((type, trafficClass, payload) -> CompletableFuture.completedFuture(payload));
        try (FaultProxy proxy = new FaultProxy(mServer.port())) {
            get(call(proxy.address(), TrafficClass.NORMAL, new byte[1], LONG_TIMEOUT_MILLIS)).get();
            proxy.dropAll();
            var lost = call(proxy.address(), TrafficClass.NORMAL, new byte[1], LONG_TIMEOUT_MILLIS);
            assertEquals(Verdict.MAY_HAVE_RUN, get(lost).getLeft().verdict());
            assertEquals(CallError.Kind.BROKEN, get(lost).getLeft().kind());
            assertEquals(1, mClient.counters().silentConnections());
            proxy.clearFaults();
            var next = call(proxy.address(), TrafficClass.NORMAL, new byte[1], LONG_TIMEOUT_MILLIS);
            assertTrue(get(next).isRight());
        }
    }

    @Test
    void lateAnswerIsDroppedAndCounted() throws Exception {
        ConcurrentLinkedQueue<CompletableFuture<byte[]>> answers = new ConcurrentLinkedQueue<>();
        startServer(
                (type, trafficClass, payload) -> {
                    answers.add(new CompletableFuture<>());
                    return answers.peek();
                });
        var result = call(TrafficClass.NORMAL, new byte[1], 200);
        assertEquals(Verdict.MAY_HAVE_RUN, get(result).getLeft().verdict());
        await().until(() -> !answers.isEmpty());
        answers.element().complete(new byte[100_000]);
        await().until(() -> mClient.counters().lateAnswers() == 1);
    }

    @Test
    void failedHandlerGivesMayHaveRun() throws Exception {
        startServer(
                (type, trafficClass, payload) -> {
                    throw new IllegalStateException("simulated handler failure");
                });
        assertEquals(Verdict.MAY_HAVE_RUN, get(call(new byte[1])).getLeft().verdict());
    }

    @Test
    void malformedFrameClosesConnection() throws Exception {
        startServer((type, trafficClass, payload) -> CompletableFuture.completedFuture(payload));
        byte[] unknownKind = {0, 0, 0, 7, (byte) 0x96, 99, 0, 0, 0, (byte) 0xc3, 0};
        byte[] oversize = {0x7f, 0, 0, 0};
        for (byte[] bytes : List.of(unknownKind, oversize)) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
                socket.getOutputStream().write(bytes);
                assertEquals(-1, socket.getInputStream().read());
            }
        }
        assertEquals(2, mServer.counters().corruptConnections());
    }

    @Test
    void urgentCallIsNotBlockedByRateLimitedBulkCall() throws Exception {
        startServer(
                (type, trafficClass, payload) -> CompletableFuture.completedFuture(new byte[1]));
        CrossRegionLimit limit = new CrossRegionLimit(100_000, CrossRegionLimit.MIN_BURST_BYTES);
        mClient.setRegionSettings(new RegionSettings("south", address -> "north", limit));
        var bulk = call(TrafficClass.BULK, new byte[400_000], LONG_TIMEOUT_MILLIS);
        await().until(() -> mClient.counters().crossRegionBytes(TYPE) > 0);
        var urgent = call(TrafficClass.URGENT, "quick".getBytes(UTF_8), LONG_TIMEOUT_MILLIS);
        assertTrue(get(urgent).isRight());
        assertFalse(bulk.isDone());
        assertTrue(get(bulk).isRight());
    }

    private void startServer(PeerTransport.Handler handler) {
        mServer.setHandler(handler);
        mServer.start();
    }

    private CompletableFuture<Either<CallError, byte[]>> call(byte[] body) {
        return call(TrafficClass.NORMAL, body, LONG_TIMEOUT_MILLIS);
    }

    private CompletableFuture<Either<CallError, byte[]>> call(
            TrafficClass trafficClass, byte[] body, long timeoutMillis) {
        return call("127.0.0.1:" + mServer.port(), trafficClass, body, timeoutMillis);
    }

    private CompletableFuture<Either<CallError, byte[]>> call(
            String address, TrafficClass trafficClass, byte[] body, long timeoutMillis) {
        return mClient.call(address, TYPE, trafficClass, body, timeoutMillis);
    }

    private static Either<CallError, byte[]> get(
            CompletableFuture<Either<CallError, byte[]>> result) throws Exception {
        return result.get(2 * LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
}
