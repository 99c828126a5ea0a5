package org.hyssoprouter.daemon.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import org.hyssoprouter.errors.CallError;
import org.hyssoprouter.lib.Verdict;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpCallerTest {
    private static final int MAX_CALLS = 4;
    private static final byte BODY_BYTE = 1;

    private final HttpCaller mCaller = new HttpCaller(Executors.newCachedThreadPool(), MAX_CALLS);

    @BeforeEach
    void setUp() {
        mCaller.start();
    }

    @AfterEach
    void tearDown() {
        mCaller.stop();
    }

    @Test
    void refusedConnectionGivesNotRun() throws IOException {
        ServerSocket closed = listen();
        int port = closed.getLocalPort();
        closed.close();
        assertEquals(Verdict.NOT_RUN, send(port, 5_000).getLeft().verdict());
    }

    @Test
    void timeoutAfterSendGivesMayHaveRun() throws IOException {
        try (ServerSocket silent = listen()) {
            CallError error = send(silent.getLocalPort(), 300).getLeft();
            assertEquals(CallError.Kind.TIMEOUT, error.kind());
            assertEquals(Verdict.MAY_HAVE_RUN, error.verdict());
        }
    }

    @Test
    void connectionLostInAnswerGivesMayHaveRun() throws IOException {
        try (ServerSocket cutting = listen()) {
            Thread server = new Thread(() -> sendTruncatedAnswer(cutting));
            server.start();
            CallError error = send(cutting.getLocalPort(), 5_000).getLeft();
            assertEquals(CallError.Kind.BROKEN, error.kind());
            assertEquals(Verdict.MAY_HAVE_RUN, error.verdict());
        }
    }

    // Guards against calls that wait for a free slot much longer than their timeout.
    @Test
    void callThatWaitsForOthersEndsByItsTimeout() throws IOException {
        try (ServerSocket silent = listen()) {
            List<CompletableFuture<Either<CallError, HttpReply>>> slow = new ArrayList<>();
            for (int i = 0; i < MAX_CALLS; i++) {
                slow.add(mCaller.call(request(silent.getLocalPort()), 5_000));
            }
            CallError error = send(silent.getLocalPort(), 300).getLeft();
            assertEquals(Verdict.NOT_RUN, error.verdict());
            slow.forEach(call -> assertFalse(call.isDone(), "other calls are still open"));
        }
    }

    @Test
    void invalidAddressGivesNotRun() {
        HttpRequest request = HttpRequest.of("GET", "no address", "/", null);
        assertEquals(Verdict.NOT_RUN, mCaller.callAndWait(request, 5_000).getLeft().verdict());
    }

    @Test
    void callAfterStopGivesNotRun() throws IOException {
        mCaller.stop();
        try (ServerSocket silent = listen()) {
            assertEquals(Verdict.NOT_RUN, send(silent.getLocalPort(), 60_000).getLeft().verdict());
        }
    }

    // Guards against calls without an end: whatever the servers do, and when the client stops.
    @Test
    void everyCallEndsWithVerdict() throws IOException, InterruptedException {
        ServerSocket absent = listen();
        absent.close();
        try (ServerSocket silent = listen();
                ServerSocket cutting = listen();
                ServerSocket resetting = listen()) {
            startServer(cutting, HttpCallerTest::sendTruncatedAnswer);
            startServer(resetting, HttpCallerTest::reset);
            List<CompletableFuture<Either<CallError, HttpReply>>> ended = new ArrayList<>();
            List<CompletableFuture<Either<CallError, HttpReply>>> open = new ArrayList<>();
            for (int i = 0; i < 3 * MAX_CALLS; i++) {
                open.add(mCaller.call(request(silent.getLocalPort()), 600_000));
                ended.add(mCaller.call(request(silent.getLocalPort()), 1 + 20 * i));
                ended.add(mCaller.call(request(absent.getLocalPort()), 600_000));
                ended.add(mCaller.call(request(cutting.getLocalPort()), 600_000));
                ended.add(mCaller.call(request(resetting.getLocalPort()), 600_000));
            }
            ended.forEach(call -> assertTrue(call.join().isLeft()));
            mCaller.stop();
            List<Verdict> verdicts =
                    open.stream().map(call -> call.join().getLeft().verdict()).toList();
            assertTrue(verdicts.contains(Verdict.NOT_RUN), "calls that wait for others");
            assertTrue(verdicts.contains(Verdict.MAY_HAVE_RUN), "calls that were sent");
        }
    }

    // Guards against places that a timeout takes from its address forever.
    @Test
    void callsAfterTimeoutsFindFreeConnections() throws IOException {
        try (ServerSocket server = listen()) {
            for (int i = 0; i < 10 * MAX_CALLS; i++) {
                assertTrue(send(server.getLocalPort(), 1 + i % 7).isLeft());
            }
            startServer(server, HttpCallerTest::sendAnswer);
            assertEquals(HttpReply.OK, send(server.getLocalPort(), 600_000).get().status());
        }
    }

    @Test
    void reusesConnectionUnlessServerEndsIt() throws IOException, InterruptedException {
        try (MockWebServer server = new MockWebServer()) {
            server.start();
            server.enqueue(new MockResponse.Builder().body("a").build());
            server.enqueue(
                    new MockResponse.Builder().addHeader("Connection", "close").body("b").build());
            server.enqueue(new MockResponse.Builder().code(204).build());
            assertArrayEquals(new byte[] {'a'}, send(server.getPort(), 60_000).get().body());
            assertArrayEquals(new byte[] {'b'}, send(server.getPort(), 60_000).get().body());
            assertEquals(HttpReply.NO_CONTENT, send(server.getPort(), 60_000).get().status());
            List<Integer> connections = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                connections.add(server.takeRequest().getConnectionIndex());
            }
            assertEquals(List.of(0, 0, 1), connections);
        }
    }

    // Guards against large answers over a narrow link that are broken off and read again.
    @Test
    void callGoesOnWhileItsAnswerArrives() throws IOException {
        try (MockWebServer server = new MockWebServer()) {
            server.start();
            MockResponse slow =
                    new MockResponse.Builder()
                            .body("x".repeat(60))
                            .throttleBody(10, 200, TimeUnit.MILLISECONDS)
                            .build();
            for (int i = 0; i < 3; i++) {
                server.enqueue(slow);
            }
            int port = server.getPort();
            assertEquals(
                    CallError.Kind.TIMEOUT,
                    mCaller.callAndWait(request(port), 600).getLeft().kind());
            assertTrue(mCaller.call(request(port), 600, 600, 60_000).join().isRight());
            assertTrue(mCaller.call(request(port), 600, 600, 700).join().isLeft());
        }
    }

    // Guards against long polls that end by the timeout of the call that opened their connection.
    @Test
    void reusedConnectionKeepsNoTimeoutOfEarlierCalls() throws IOException, InterruptedException {
        try (MockWebServer server = new MockWebServer()) {
            server.start();
            server.enqueue(new MockResponse.Builder().body("a").build());
            server.enqueue(
                    new MockResponse.Builder().headersDelay(2, TimeUnit.SECONDS).body("b").build());
            assertTrue(send(server.getPort(), 900).isRight());
            assertArrayEquals(new byte[] {'b'}, send(server.getPort(), 60_000).get().body());
            server.takeRequest();
            assertEquals(0, server.takeRequest().getConnectionIndex(), "connection was reused");
        }
    }

    @Test
    void evictionClosesIdleConnection() throws IOException, InterruptedException {
        try (MockWebServer server = new MockWebServer()) {
            server.start();
            server.enqueue(new MockResponse.Builder().body("a").build());
            server.enqueue(new MockResponse.Builder().body("b").build());
            assertTrue(send(server.getPort(), 60_000).isRight());
            mCaller.evictIdleConnections();
            assertTrue(send(server.getPort(), 60_000).isRight());
            assertEquals(0, server.takeRequest().getConnectionIndex());
            assertEquals(1, server.takeRequest().getConnectionIndex());
        }
    }

    @Test
    void evictionForAnAddressLeavesOtherConnections() throws IOException, InterruptedException {
        try (MockWebServer evicted = new MockWebServer();
                MockWebServer other = new MockWebServer()) {
            for (MockWebServer server : List.of(evicted, other)) {
                server.start();
                server.enqueue(new MockResponse.Builder().body("a").build());
                server.enqueue(new MockResponse.Builder().body("b").build());
                assertTrue(send(server.getPort(), 60_000).isRight());
            }
            mCaller.evictIdleConnections("127.0.0.1:" + evicted.getPort());
            assertTrue(send(evicted.getPort(), 60_000).isRight());
            assertTrue(send(other.getPort(), 60_000).isRight());
            evicted.takeRequest();
            other.takeRequest();
            assertEquals(1, evicted.takeRequest().getConnectionIndex());
            assertEquals(0, other.takeRequest().getConnectionIndex());
        }
    }

    // A request that is sent a second time could run twice.
    @Test
    void lostCallIsNotRepeatedAndRedirectNotFollowed() throws IOException {
        AtomicInteger requests = new AtomicInteger();
        try (ServerSocket server = listen()) {
            startServer(server, it -> redirectThenClose(it, requests));
            assertEquals(302, send(server.getLocalPort(), 60_000).get().status());
            CallError error = send(server.getLocalPort(), 60_000).getLeft();
            assertEquals(Verdict.MAY_HAVE_RUN, error.verdict());
            assertEquals(2, requests.get());
        }
    }

    /** Redirects the first request of each connection, and closes it when the second arrives. */
    private static void redirectThenClose(ServerSocket server, AtomicInteger requests)
            throws IOException {
        try (Socket socket = server.accept()) {
            readRequest(socket);
            requests.incrementAndGet();
            String answer = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            readRequest(socket);
            requests.incrementAndGet();
        }
    }

    /** Reads up to the only byte of the body. */
    private static void readRequest(Socket socket) throws IOException {
        int read;
        do {
            read = socket.getInputStream().read();
        } while (read != BODY_BYTE && read >= 0);
    }

    private interface Connection {
        void serve(ServerSocket server) throws IOException;
    }

    private static void startServer(ServerSocket server, Connection connection) {
        Thread thread =
                new Thread(
                        () -> {
                            while (!server.isClosed()) {
                                serve(server, connection);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void serve(ServerSocket server, Connection connection) {
        try {
            connection.serve(server);
        } catch (IOException e) {
            // The client has closed this connection, or the test has closed the server.
            Thread.onSpinWait();
        }
    }

    private static void reset(ServerSocket server) throws IOException {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            socket.setSoLinger(true, 0);
        }
    }

    private static void sendAnswer(ServerSocket server) throws IOException {
        try (Socket socket = server.accept()) {
            if (socket.getInputStream().read() < 0) {
                return;
            }
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    private Either<CallError, HttpReply> send(int port, long timeoutMillis) {
        return mCaller.call(request(port), timeoutMillis).join();
    }

    private static HttpRequest request(int port) {
        return HttpRequest.of("POST", "127.0.0.1:" + port, "/execute", new byte[] {BODY_BYTE});
    }

    private static void sendTruncatedAnswer(ServerSocket server) {
        try (Socket socket = server.accept()) {
            String half = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            socket.getOutputStream().write(half.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().flush();
            socket.getInputStream().read();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
