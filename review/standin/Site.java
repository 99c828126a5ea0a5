import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small site on loopback: stand-ins of the store, the executors and the operator in this
 * process, and the daemons as processes of their own, started as the deploy file says. Its bounds
 * are those of the small site of Lefain.
 */
final class Site implements AutoCloseable {
    static final String SERVICE = "lefain-hub";
    static final String HOST = "queue.example";
    static final long HEARTBEAT_MILLIS = 1_500;
    static final long MAX_HOLD_MILLIS = 6_000;

    private final Path mRoot;
    private final Path mFolder;
    private final Path mTemp;
    private final Recorder mRecorder;
    private final Store mStore = new Store();
    private final Http.Server mStoreServer;
    private final List<Executor> mExecutors = new ArrayList<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Executor.Run> mRuns = new CopyOnWriteArrayList<>();
    private final java.util.Set<String> mAcked = ConcurrentHashMap.newKeySet();
    private final Map<String, Integer> mStartCounts = new ConcurrentHashMap<>();
    private long mConfigVersion;
    private volatile boolean mClosed;

    Site(Path folder) throws IOException {
        mRoot = Path.of("").toAbsolutePath();
        mFolder = folder;
        mTemp = Files.createTempDirectory("review");
        mRecorder = new Recorder(folder.resolve("record.txt"));
        mStoreServer = new Http.Server("127.0.0.1", 0, mStore);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns the value of a field such as ms=100 in a text. */
    static long field(String text, String name, long absent) {
        Matcher matcher = Pattern.compile("(?:^| )" + name + "=(\\d+)").matcher(text);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : absent;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    Recorder recorder() {
        return mRecorder;
    }

    Store store() {
        return mStore;
    }

    List<Executor> executors() {
        return mExecutors;
    }

    List<Daemon> daemons() {
        return mDaemons;
    }

    List<Executor.Run> runs() {
        return mRuns;
    }

    void onStart(Executor.Run run, String spec) {
        mStartCounts.merge(run.mTask, 1, Integer::sum);
        mRuns.add(run);
    }

    int startCount(String task) {
        return mStartCounts.getOrDefault(task, 0);
    }

    void onAcked(String task, int run, String how) {
        mAcked.add(task + " " + run + " " + how);
        mRecorder.log("end taken note of: " + task + " run " + run + " " + how);
    }

    /** A route as the operator writes it. */
    static Map<String, Object> route(String name, int priority, int attempts) {
        return Json.of(
                "Name", "r-" + name, "Host", HOST, "PathPrefix", "/" + name + "/", "Type", "non_idempotent",
                "TimeoutMs", 3_000, "TargetLatencyMs", 500, "Priority", priority, "Service", SERVICE,
                "MaxAttempts", attempts, "SlackFactor", 4.0);
    }

    void configure(List<Map<String, Object>> routes) {
        mConfigVersion += 2;
        Map<String, Object> service =
                Json.of(
                        "Name", SERVICE, "HealthPath", "/healthz", "MaxConnections", 64, "Protocol", "h1", "Tls", false,
                        "AdmissionControl", false, "Standby", false);
        mStore.put(
                "op", "", "config",
                Json.write(
                        Json.of(
                                "Version", mConfigVersion, "Routes", routes, "Services", List.of(service), "Limits",
                                Json.of(
                                        "MaxHeaderBytes", 16_384, "MaxBodyBytes", 262_144, "HeaderTimeoutMs", 3_000,
                                        "IdleTimeoutMs", 15_000))));
        mRecorder.log("configuration " + mConfigVersion + " acknowledged, routes "
                + routes.stream().map(r -> String.valueOf(r.get("Name"))).toList());
    }

    void addExecutors(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Executor executor = new Executor(this, "i-%010x".formatted(0x7f3a91c200L + i * 7919), i);
            executor.start("127.0.0.1", 0);
            mExecutors.add(executor);
        }
        if (mExecutors.size() == count) {
            Thread thread = new Thread(this::tick, "tick");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void tick() {
        while (!mClosed) {
            mExecutors.forEach(Executor::tick);
            pause(10);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A daemon, one process. */
    final class Daemon {
        final String mName;
        final String mFront;
        final String mReadiness;
        private final Path mSettings;
        private Process mProcess;
        private int mStarts;

        Daemon(int number) throws IOException {
            mName = "edge-caerdydd-a-" + (number + 1);
            // An address of its own, as each machine has, with the ports of the pages' example.
            long pid = ProcessHandle.current().pid();
            String ip = "127.%d.%d.%d".formatted(1 + pid / 200 % 200, 1 + pid % 200, 10 + number);
            checkFree(ip);
            mFront = ip + ":8161";
            mReadiness = ip + ":8167";
            Map<String, Object> values =
                    Json.of(
                            "NodeName", mName, "Region", "de-cymru", "Zone", "caerdydd-a", "Ip", ip,
                            "Advisor", "127.0.0.1:9", "HeartbeatMs", HEARTBEAT_MILLIS,
                            "ListenAddrs.Frontend", mFront, "ListenAddrs.Readiness", mReadiness,
                            "InternalPortRange.0", 7_720, "InternalPortRange.1", 7_735,
                            "platform.Address", mStoreServer.address(), "Bounds.MaxHoldMs", MAX_HOLD_MILLIS,
                            "Bounds.StopMs", 900, "Bounds.GracePeriodS", 6, "Bounds.RestoreMs", 250,
                            "Limits.CpuShare", 0.75, "Limits.CpuCores", 1);
            String text = Files.readString(mRoot.resolve(deployValue("template")));
            Matcher matcher = Pattern.compile("\\{\\{([^}]+)}}").matcher(text);
            StringBuilder out = new StringBuilder();
            while (matcher.find()) {
                Object value = values.get(matcher.group(1));
                if (value == null) {
                    throw new IOException("the template needs " + matcher.group(1));
                }
                matcher.appendReplacement(out, Matcher.quoteReplacement(String.valueOf(value)));
            }
            matcher.appendTail(out);
            mSettings = mTemp.resolve(mName + ".yaml");
            Files.writeString(mSettings, out);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(deployValue("run").split(" "));
            builder.directory(mRoot.toFile());
            String path = System.getenv("PATH");
            String home = System.getenv("HOME");
            String java = System.getenv("JAVA_HOME");
            builder.environment().clear();
            builder.environment().put("PATH", path);
            builder.environment().put("HOME", home == null ? System.getProperty("java.io.tmpdir") : home);
            if (java != null) {
                builder.environment().put("JAVA_HOME", java);
            }
            builder.environment().put("HYSSOPROUTER_BOOT", mSettings.toString());
            File log = logFolder().resolve(mName + "-" + ++mStarts + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(log);
            mProcess = builder.start();
            mRecorder.log("process of " + mName + " started");
        }

        long pid() {
            return mProcess.pid();
        }

        boolean isAlive() {
            return mProcess != null && mProcess.isAlive();
        }

        void kill() {
            mRecorder.log("SIGKILL to " + mName);
            mProcess.destroyForcibly();
            join();
        }

        /** SIGTERM, and SIGKILL after the grace period. */
        void terminate() throws InterruptedException {
            mRecorder.log("SIGTERM to " + mName);
            mProcess.destroy();
            if (!mProcess.waitFor(6, TimeUnit.SECONDS)) {
                mRecorder.log("SIGKILL to " + mName + " after the grace period");
                mProcess.destroyForcibly();
                join();
            }
            mRecorder.log(mName + " has ended");
        }

        void signal(String name) throws Exception {
            mRecorder.log("SIG" + name + " to " + mName);
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
        }

        private void join() {
            try {
                mProcess.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        boolean isReady() {
            return Http.call(mReadiness, "GET", "/hyssoprouter/readyz", mReadiness, "", 500).status() == 200;
        }
    }

    private Path logFolder() throws IOException {
        Path folder = mRoot.resolve("target/review-logs").resolve(mFolder.getFileName().toString());
        Files.createDirectories(folder);
        return folder;
    }

    private String deployValue(String name) throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("deploy file has no " + name);
        }
        return matcher.group(1);
    }

    private static void checkFree(String ip) throws IOException {
        for (int port : new int[] {8_161, 8_167, 7_720, 7_735}) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(ip, port));
            }
        }
    }

    void addDaemons(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon(mDaemons.size());
            mDaemons.add(daemon);
            daemon.start();
        }
    }

    /** Waits until all daemons are ready and one owns the pools. */
    boolean awaitReady(long limitMillis) {
        long end = mRecorder.millis() + limitMillis;
        while (mRecorder.millis() < end) {
            if (mDaemons.stream().allMatch(Daemon::isReady) && !ownerName().isEmpty()) {
                mRecorder.log("all daemons are ready; owner " + ownerName());
                return true;
            }
            pause(50);
        }
        return false;
    }

    /** Returns the name in the owner's row: the daemon that wrote last under a condition. */
    String ownerName() {
        for (Store.Row row : mStore.rows("hyssop-states", "pools")) {
            if (row.key().equals("!owner")) {
                String text =
                        new String(
                                java.util.Base64.getDecoder().decode(row.value()),
                                java.nio.charset.StandardCharsets.ISO_8859_1);
                for (Daemon daemon : mDaemons) {
                    if (text.contains(daemon.mName)) {
                        return daemon.mName;
                    }
                }
            }
        }
        return "";
    }

    Daemon owner() {
        String name = ownerName();
        return mDaemons.stream().filter(it -> it.mName.equals(name)).findFirst().orElse(null);
    }

    static String newId() {
        return "%016x".formatted(ThreadLocalRandom.current().nextLong());
    }

    /** Step of a job. */
    static Map<String, Object> step(int count, int cpu, int estimateMillis) {
        return Json.of("Count", count, "Cpu", cpu, "TaskMemoryMb", 256, "EstimateMs", estimateMillis);
    }

    /** Hands a job in at a daemon; returns the status. */
    int submit(Daemon daemon, String queue, String id, String spec, List<Map<String, Object>> steps) {
        return call(daemon, "POST", queue, id, Json.write(Json.of("Spec", spec, "Phases", steps))).status();
    }

    /** Hands a job in until it is accepted, at any daemon, as clients do. */
    boolean submitUntilAccepted(String queue, String id, String spec, List<Map<String, Object>> steps, long limitMillis) {
        long end = mRecorder.millis() + limitMillis;
        while (mRecorder.millis() < end) {
            Daemon daemon = mDaemons.get(ThreadLocalRandom.current().nextInt(mDaemons.size()));
            int status = submit(daemon, queue, id, spec, steps);
            if (status == 200) {
                return true;
            }
            pause(200);
        }
        return false;
    }

    Http.Reply call(Daemon daemon, String method, String queue, String id, String body) {
        Http.Reply reply = Http.call(daemon.mFront, method, "/" + queue + "/" + id, HOST, body, 3_000);
        mRecorder.log("client: " + method + " /" + queue + "/" + id + " at " + daemon.mName + " -> " + reply.status()
                + " " + reply.body());
        return reply;
    }

    /** Returns the state that a daemon tells, or the status. */
    String state(Daemon daemon, String queue, String id) {
        Http.Reply reply = call(daemon, "GET", queue, id, "");
        return reply.status() == 200 ? Json.text(Json.object(reply.body()), "State") : Integer.toString(reply.status());
    }

    /** Returns pairs of runs of one task that ran at the same time. */
    List<String> runsAtOnce() {
        List<String> found = new ArrayList<>();
        Map<String, List<Executor.Run>> byTask = new HashMap<>();
        mRuns.forEach(run -> byTask.computeIfAbsent(run.mTask, k -> new ArrayList<>()).add(run));
        long now = mRecorder.millis();
        for (List<Executor.Run> runs : byTask.values()) {
            for (int i = 0; i < runs.size(); i++) {
                for (int j = i + 1; j < runs.size(); j++) {
                    Executor.Run a = runs.get(i);
                    Executor.Run b = runs.get(j);
                    long aEnd = a.mEndedAt < 0 ? now : a.mEndedAt;
                    long bEnd = b.mEndedAt < 0 ? now : b.mEndedAt;
                    if (a.mStartedAt < bEnd && b.mStartedAt < aEnd) {
                        found.add(a + " | " + b);
                    }
                }
            }
        }
        return found;
    }

    /** Returns starts of a task after a run of it has ended done, whose end was taken note of. */
    List<String> startsAfterDone() {
        List<String> found = new ArrayList<>();
        Map<String, List<Executor.Run>> byTask = new HashMap<>();
        mRuns.forEach(run -> byTask.computeIfAbsent(run.mTask, k -> new ArrayList<>()).add(run));
        for (List<Executor.Run> runs : byTask.values()) {
            for (Executor.Run a : runs) {
                boolean noted = a.mHow.equals("done") && mAcked.contains(a.mTask + " " + a.mRun + " done");
                for (Executor.Run b : runs) {
                    if (noted && b.mStartedAt > a.mEndedAt) {
                        found.add(a + " | " + b);
                    }
                }
            }
        }
        return found;
    }

    private void killAll() {
        for (Daemon daemon : mDaemons) {
            if (daemon.mProcess != null) {
                daemon.mProcess.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        mClosed = true;
        killAll();
        mStoreServer.close();
        try (var files = Files.list(mTemp)) {
            files.forEach(it -> it.toFile().delete());
        } catch (IOException e) {
            // Temporary files of this run only.
        }
        mTemp.toFile().delete();
    }

    /** Runs a case and ends the process: 1 broken, 0 held, 2 could not run. */
    interface Case {
        boolean isBroken(Site site) throws Exception;
    }

    static void run(String folder, Case body) {
        int code = 2;
        try (Site site = new Site(Path.of(folder))) {
            try {
                boolean broken = body.isBroken(site);
                site.recorder().say(broken ? "BROKEN" : "held");
                code = broken ? 1 : 0;
            } catch (Throwable e) {
                site.recorder().say("could not run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }
}
