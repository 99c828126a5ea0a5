import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small cell: daemons as processes, started with the command of the deploy file. */
final class Cell implements AutoCloseable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String SERVICE = "hub";

    /** Bounds of the small sites' sheets that the settings carry. */
    static final long STOP_MILLIS = 900;

    final Record mRecord;
    final Store mStore;
    final List<Node> mNodes = new ArrayList<>();
    private final Path mFolder;
    private final Path mRoot;
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(3)).build();

    /** One daemon. */
    static final class Node {
        final String mName;
        final String mFront;
        final String mReady;
        final Path mSettings;
        Process mProcess;

        Node(String name, String front, String ready, Path settings) {
            mName = name;
            mFront = front;
            mReady = ready;
            mSettings = settings;
        }
    }

    /** Status and body of an answer; status 0 if there was none. */
    record Answer(int status, String body) {}

    Cell(Record record, int nodes) throws Exception {
        mRecord = record;
        mRoot = Path.of("").toAbsolutePath();
        mFolder = Files.createTempDirectory("review-2-");
        mStore = new Store(ip(0), record);
        String template = Files.readString(mRoot.resolve("deploy/settings.yaml"));
        int[] ports = freePorts(nodes);
        for (int i = 0; i < nodes; i++) {
            String ip = ip(1 + i);
            String name = "edge-zone-a-" + (i + 1);
            String settings = template
                    .replace("{{NodeName}}", name).replace("{{Region}}", "region-1").replace("{{Zone}}", "zone-a")
                    .replace("{{ListenAddrs.Frontend}}", ip + ":" + ports[0])
                    .replace("{{ListenAddrs.Readiness}}", ip + ":" + ports[1])
                    .replace("{{Ip}}", ip)
                    .replace("{{InternalPortRange.0}}", "" + ports[2]).replace("{{InternalPortRange.1}}", "" + ports[3])
                    .replace("{{platform.Address}}", mStore.address()).replace("{{Advisor}}", mStore.address())
                    .replace("{{Bounds.MaxHoldMs}}", "6000").replace("{{Bounds.StopMs}}", "" + STOP_MILLIS)
                    .replace("{{HeartbeatMs}}", "1500").replace("{{Limits.CpuShare}}", "0.75")
                    .replace("{{Limits.CpuCores}}", "1").replace("{{Bounds.GracePeriodS}}", "6")
                    .replace("{{Bounds.RestoreMs}}", "250");
            if (settings.contains("{{")) {
                throw new IllegalStateException("deploy/settings.yaml has a placeholder that this script does not know");
            }
            Path file = mFolder.resolve(name + ".yaml");
            Files.writeString(file, settings);
            mNodes.add(new Node(name, ip + ":" + ports[0], ip + ":" + ports[1], file));
        }
    }

    /** Returns a loopback address of this script, so that scripts may run side by side. */
    static String ip(int host) {
        long pid = ProcessHandle.current().pid();
        return "127." + (1 + pid / 200 % 200) + "." + pid % 200 + "." + (10 + host);
    }

    private static int[] freePorts(int nodes) throws Exception {
        int[] ports = new int[4];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip(1)));
            sockets.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Writes a configuration with one queue. */
    void configure(long version) {
        configure(version, 2);
    }

    void configure(long version, int maxAttempts) {
        ObjectNode root = Store.JSON.createObjectNode().put("Version", version);
        ArrayNode routes = root.putArray("Routes");
        routes.addObject().put("Name", "r-1").put("Host", HOST).put("PathPrefix", PREFIX).put("TimeoutMs", 3000)
                .put("Service", SERVICE).put("Priority", 1).put("MaxAttempts", maxAttempts)
                .put("SlackFactor", 3.0).put("TargetLatencyMs", 1200);
        root.putArray("Services").addObject().put("Name", SERVICE);
        mStore.put("op", "config", Store.utf8(root.toString()));
    }

    void startAll() throws Exception {
        for (Node node : mNodes) {
            start(node);
        }
    }

    void start(Node node) throws Exception {
        String deploy = Files.readString(mRoot.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("deploy/system.toml has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(mRoot.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HYSSOPROUTER_BOOT", node.mSettings.toString());
        File log = mFolder.resolve(node.mName + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        node.mProcess = builder.start();
        mRecord.add("started " + node.mName + " as process " + node.mProcess.pid());
    }

    /** Waits until all daemons are ready. */
    boolean awaitReady(long seconds) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000;
        for (Node node : mNodes) {
            while (!isReady(node)) {
                if (System.nanoTime() > end) {
                    mRecord.add(node.mName + " is not ready after " + seconds + " s");
                    return false;
                }
                Thread.sleep(100);
            }
        }
        mRecord.add("all daemons are ready");
        return true;
    }

    boolean isReady(Node node) {
        return call("GET", node.mReady, "/hyssoprouter/readyz", null, 1_000).status() == 200;
    }

    Answer submit(Node node, String id, ObjectNode job) {
        Answer answer = call("POST", node.mFront, PREFIX + id, job.toString(), 3_000);
        mRecord.add("POST " + id + " at " + node.mName + " -> " + name(answer));
        return answer;
    }

    Answer cancel(Node node, String id) {
        Answer answer = call("DELETE", node.mFront, PREFIX + id, null, 3_000);
        mRecord.add("DELETE " + id + " at " + node.mName + " -> " + name(answer));
        return answer;
    }

    Answer state(Node node, String id) {
        return call("GET", node.mFront, PREFIX + id, null, 3_000);
    }

    static String name(Answer answer) {
        return answer.status() == 0 ? "no answer" : answer.status() + " " + answer.body();
    }

    Answer call(String method, String address, String path, String body, long timeoutMillis) {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .method(method, publisher).header("Host", HOST).header("Content-Type", "application/json")
                .header("Deadline-Ms", "3000").timeout(Duration.ofMillis(timeoutMillis)).build();
        try {
            HttpResponse<String> response = mClient.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (Exception e) {
            return new Answer(0, e.getClass().getSimpleName());
        }
    }

    static ObjectNode job(String spec) {
        ObjectNode job = Store.JSON.createObjectNode().put("Spec", spec);
        job.putArray("Phases");
        return job;
    }

    static ObjectNode step(ObjectNode job, int count, int cpu, int memoryMb, long estimateMillis) {
        return ((ArrayNode) job.path("Phases")).addObject().put("Count", count).put("Cpu", cpu)
                .put("TaskMemoryMb", memoryMb).put("EstimateMs", estimateMillis);
    }

    /** Sends a signal to a daemon that this script has started. */
    void signal(Node node, String signal) throws Exception {
        mRecord.add("SIG" + signal + " to " + node.mName);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + node.mProcess.pid()).inheritIO().start().waitFor();
    }

    /** Returns the lines of a daemon's log that contain a text. */
    List<String> log(Node node, String text) throws Exception {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(mFolder.resolve(node.mName + ".log"), java.nio.charset.StandardCharsets.ISO_8859_1)) {
            if (line.contains(text)) {
                lines.add(line);
            }
        }
        return lines;
    }

    @Override
    public void close() throws Exception {
        for (Node node : mNodes) {
            if (node.mProcess != null) {
                node.mProcess.destroyForcibly().waitFor();
            }
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.list(mFolder)) {
                for (Path file : (Iterable<Path>) files::iterator) {
                    Files.delete(file);
                }
            }
            Files.delete(mFolder);
        } else {
            System.err.println("logs: " + mFolder);
        }
    }
}
