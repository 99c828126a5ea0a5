package org.hyssoprouter.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hyssoprouter.standin.executor.ExecutorEndpoint;
import org.hyssoprouter.standin.platform.PlatformEndpoint;
import org.hyssoprouter.util.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpEndpointTest {
    private final EventLoopGroup mEventLoops = new NioEventLoopGroup(1);
    private final HttpClient mClient = HttpClient.newHttpClient();

    @AfterEach
    void tearDown() {
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void commitWithLostReplyTakesEffect() throws Exception {
        int port =
                startEndpoint(
                        new PlatformEndpoint(mEventLoops, MonotonicClock.system(), List.of()));
        String write = "{'checks':[{'key':'a','version':0}],'writes':[{'key':'a','value':'AQ=='}]}";
        post(port, "/faults", "{'loseReplies':1}");
        assertThrows(IOException.class, () -> post(port, "/table/commit", write));
        assertEquals(409, post(port, "/table/commit", write).statusCode());
        post(port, "/faults", "{'outage':true}");
        assertEquals(503, post(port, "/table/read", "{'keys':['a']}").statusCode());
        post(port, "/faults", "{'outage':false}");
        String rows = "{\"rows\":[{\"key\":\"a\",\"version\":1,\"value\":\"AQ==\"}]}";
        assertEquals(rows, post(port, "/table/scan", "{'prefix':'a'}").body());
        assertEquals(400, post(port, "/table/scan", "{'x':1}").statusCode());
    }

    @Test
    void executorRunsAndCountsRequestsAboveItsSlots() throws Exception {
        int port = startEndpoint(new ExecutorEndpoint(mEventLoops, "e", 1, 64));
        var first = mClient.sendAsync(executeRequest(port, 2, "a\nwork=300"), textBodyHandler());
        var second =
                mClient.sendAsync(executeRequest(port, 2, "b\nwork=300 size=2"), textBodyHandler());
        assertEquals("a\n", first.get().body());
        assertEquals("b\nxx", second.get().body());
        assertEquals(
                409, mClient.send(executeRequest(port, 1, "c"), textBodyHandler()).statusCode());
        post(port, "/faults", "{'cutAfterRun':1}");
        assertThrows(
                IOException.class,
                () -> mClient.send(executeRequest(port, 2, "d"), textBodyHandler()));
        String history = mClient.send(request(port, "/history").build(), textBodyHandler()).body();
        assertTrue(history.contains("\"overfills\":1"), history);
        assertTrue(history.contains("\"key\":\"d\""), history);
        assertTrue(!history.contains("\"key\":\"c\""), history);
    }

    private int startEndpoint(StandinHandler handler) {
        HttpEndpoint endpoint = new HttpEndpoint(mEventLoops, "127.0.0.1:0", handler);
        endpoint.start();
        return endpoint.port();
    }

    private HttpResponse<String> post(int port, String path, String body) throws Exception {
        var content = HttpRequest.BodyPublishers.ofString(body.replace('\'', '"'));
        return mClient.send(request(port, path).POST(content).build(), textBodyHandler());
    }

    private static HttpRequest executeRequest(int port, long epoch, String body) {
        return request(port, "/execute")
                .header("Hyssop-Epoch", Long.toString(epoch))
                .header("Hyssop-Shard", "s")
                .header("Hyssop-Request-Id", "r")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static HttpRequest.Builder request(int port, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    }

    private static HttpResponse.BodyHandler<String> textBodyHandler() {
        return HttpResponse.BodyHandlers.ofString();
    }
}
