package org.hyssoprouter.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class HyssopTest {
    private final MockWebServer mServer = new MockWebServer();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();

    @BeforeEach
    void setUp() throws IOException {
        mServer.start();
    }

    @AfterEach
    void tearDown() {
        mServer.close();
    }

    @Test
    void printsTableAndSendsToken() throws InterruptedException {
        enqueueReply(
                200, "[{\"shard\":\"uva-a\",\"region\":\"uva\",\"owner\":\"e1\",\"epoch\":4}]");
        assertEquals(ExitCode.OK, run("shards"));
        assertEquals(
                "SHARD  REGION  OWNER  EPOCH  OWNER_LIVE\nuva-a  uva     e1     4      -\n",
                mOut.toString(StandardCharsets.UTF_8));
        RecordedRequest request = mServer.takeRequest();
        assertEquals("Bearer not-a-secret", request.getHeaders().get("Authorization"));
    }

    @Test
    void configStatusListsConfirmedAndPendingDaemons() {
        enqueueReply(200, "{\"version\":8,\"inForceOn\":[\"e1\",\"e2\"],\"pendingOn\":[\"e3\"]}");
        assertEquals(ExitCode.OK, run("config", "status"));
        String text = mOut.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("e1,e2"), text);
        assertTrue(text.contains("e3"), text);
    }

    @Test
    void submitSendsYamlFileAsJson(@TempDir Path folder) throws IOException, InterruptedException {
        enqueueReply(201, "{\"state\":\"PENDING\"}");
        Path file = Files.writeString(folder.resolve("job.yaml"), "id: j1\ntaskCount: 2\n");
        assertEquals(ExitCode.OK, run("submit", file.toString(), "--output", "json"));
        RecordedRequest request = mServer.takeRequest();
        assertEquals("{\"id\":\"j1\",\"taskCount\":2}", request.getBody().utf8());
        assertEquals("{\"state\":\"PENDING\"}\n", mOut.toString(StandardCharsets.UTF_8));
    }

    @Test
    void mapsOutcomesToExitCodes(@TempDir Path folder) throws IOException {
        enqueueReply(
                409, "{\"code\":\"CONFLICT\",\"verdict\":\"NOT_RUN\",\"message\":\"version 8\"}");
        Path file = Files.writeString(folder.resolve("config.yaml"), "version: 7\n");
        assertEquals(ExitCode.REFUSED, run("config", "set", file.toString()));
        assertTrue(mErr.toString(StandardCharsets.UTF_8).contains("version 8"));
        enqueueReply(202, "{\"version\":8,\"accepted\":false}");
        assertEquals(ExitCode.PENDING, run("config", "set", file.toString()));
        enqueueReply(
                502, "{\"code\":\"TARGET_FAILED\",\"verdict\":\"MAY_HAVE_RUN\",\"message\":\"m\"}");
        assertEquals(ExitCode.UNKNOWN, run("cancel", "j1"));
        assertEquals(ExitCode.USAGE, run("cancel"));
        assertEquals(ExitCode.USAGE, run("paint"));
        assertEquals(ExitCode.USAGE, run("list", "--output", "xml"));
        assertEquals(ExitCode.USAGE, run("submit", folder.resolve("none").toString()));
    }

    @Test
    void triesNextServerWhenConnectionIsRefused() {
        enqueueReply(200, "[]");
        String servers = "127.0.0.1:1," + serverAddress();
        assertEquals(ExitCode.OK, run("list", "--server", servers));
        assertEquals(ExitCode.UNREACHABLE, run("list", "--server", "127.0.0.1:1"));
        assertTrue(mErr.toString(StandardCharsets.UTF_8).contains("Nothing was sent."));
    }

    @Test
    void helpListsEveryCommandAndCompletionSucceeds() {
        assertEquals(ExitCode.OK, run("--help"));
        assertEquals(ExitCode.OK, run("completion"));
        for (Subcommand subcommand : SubcommandRegistry.ALL) {
            assertTrue(mOut.toString(StandardCharsets.UTF_8).contains("  " + subcommand.name()));
            String[] helpArgs = (subcommand.name() + " --help").split(" ");
            assertEquals(ExitCode.OK, run(helpArgs));
        }
    }

    private void enqueueReply(int status, String body) {
        mServer.enqueue(new MockResponse.Builder().code(status).body(body).build());
    }

    private ExitCode run(String... args) {
        Map<String, String> environment =
                Map.of("HYSSOP_SERVER", serverAddress(), "HYSSOP_TOKEN", "not-a-secret");
        PrintStream out = new PrintStream(mOut, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(mErr, true, StandardCharsets.UTF_8);
        return new Hyssop(out, err, environment).run(args);
    }

    private String serverAddress() {
        return "127.0.0.1:" + mServer.getPort();
    }
}
