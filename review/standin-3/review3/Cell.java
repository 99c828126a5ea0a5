package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the store, executors and daemons that the deploy file starts. */
final class Cell implements AutoCloseable {
    static final String SERVICE = "hub";
    static final String HOST = "nony24.example";
    static final String ZONE = "caerdydd-a";
    private static final int DAEMONS = 8;
    private static final int RACK_SIZE = 8;
    private static final long EXECUTOR_CPU = 64_000;
    private static final long SETTLE_MILLIS = 3_000;
    private static final String[] ZONES = {"caerdydd-a", "abertawe-a", "bangor-a"};
    private static final String[] REGIONS = {"de-cymru", "de-cymru", "gogledd"};
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACE = Pattern.compile("\\{\\{([A-Za-z0-9_.]+)}}");

    final Record mRecord;
    final Store mStore = new Store();
    final RunLog mRuns;
    final List<Executor> mExecutors = new ArrayList<>();
    final List<Daemon> mDaemons = new ArrayList<>();
    private final Path mFolder;
    private final Path mRoot;
    private long mConfigVersion;

    /** A daemon on an entry host. */
    final class Daemon {
        final String mName;
        final String mFront = address();
        final String mReadiness = address();
        private final Path mSettings;
        private final Path mLog;
        private Process mProcess;

        Daemon(int number) throws IOException {
            int zone = number % ZONES.length;
            mName = "edge-" + ZONES[zone] + "-" + (number / ZONES.length + 1);
            mSettings = mFolder.resolve(mName + ".yaml");
            mLog = mFolder.resolve(mName + ".log");
            String peer = address();
            Map<String, String> values = new HashMap<>();
            values.put("NodeName", mName);
            values.put("Region", REGIONS[zone]);
            values.put("Zone", ZONES[zone]);
            values.put("ListenAddrs.Frontend", mFront);
            values.put("ListenAddrs.Readiness", mReadiness);
            values.put("Ip", HttpNode.LOOPBACK);
            values.put("InternalPortRange.0", peer.substring(peer.indexOf(':') + 1));
            String metrics = address();
            values.put("InternalPortRange.1", metrics.substring(metrics.indexOf(':') + 1));
            values.put("platform.Address", mStore.address());
            values.put("Advisor", address());
            values.put("Bounds.MaxHoldMs", "6000");
            values.put("Bounds.StopMs", "900");
            values.put("HeartbeatMs", "1500");
            values.put("Limits.CpuShare", "0.75");
            values.put("Limits.CpuCores", "1");
            values.put("Bounds.GracePeriodS", "6");
            values.put("Bounds.RestoreMs", "250");
            String template = Files.readString(mRoot.resolve("deploy/settings.yaml"));
            Files.writeString(mSettings, fill(template, values));
        }

        private static String address() {
            return HttpNode.LOOPBACK + ":" + HttpNode.freePort();
        }

        void start() throws IOException {
            Matcher run =
                    RUN.matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no run line");
            }
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("HYSSOPROUTER_BOOT", mSettings.toString());
            environment.put("HYSSOP_MAX_ROW_BYTES", "65536");
            builder.directory(mRoot.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
            mProcess = builder.start();
        }

        boolean isAlive() {
            return mProcess != null && mProcess.isAlive();
        }

        /** Kills the process at once. */
        void kill() {
            mProcess.destroyForcibly();
            awaitEnd();
        }

        private void awaitEnd() {
            try {
                mProcess.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        List<String> logLines(String part) throws IOException {
            if (!Files.exists(mLog)) {
                return List.of();
            }
            return Files.readAllLines(mLog).stream().filter(it -> it.contains(part)).toList();
        }
    }

    /**
     * Creates a cell that is not started.
     *
     * @param folder temporary folder for settings and logs
     */
    Cell(Path root, Path folder, Record record) {
        mRoot = root;
        mFolder = folder;
        mRecord = record;
        mRuns = new RunLog(record);
    }

    private static String fill(String template, Map<String, String> values) {
        return PLACE.matcher(template)
                .replaceAll(
                        place -> Matcher.quoteReplacement(values.getOrDefault(place.group(1), "")));
    }

    /** Starts the store, the executors and the daemons, and waits until all daemons are ready. */
    void start(int executors, Executor.Work work, ObjectNode config) throws IOException {
        mStore.start();
        for (int i = 0; i < executors; i++) {
            Executor executor =
                    new Executor(
                            "x-" + i, "r" + i / RACK_SIZE, EXECUTOR_CPU, mStore, work, mRuns);
            mExecutors.add(executor);
            executor.begin();
        }
        publish(config);
        for (int i = 0; i < DAEMONS; i++) {
            mDaemons.add(new Daemon(i));
        }
        for (Daemon daemon : mDaemons) {
            daemon.start();
        }
        Client client = new Client(this);
        for (int i = 0; i < 300; i++) {
            boolean ready = mDaemons.stream().allMatch(it -> client.isReady(it));
            if (ready) {
                mRecord.add("all %d daemons are ready, %d executors", DAEMONS, executors);
                Sleep.millis(SETTLE_MILLIS);
                return;
            }
            Sleep.millis(100);
        }
        throw new IOException("daemons are not ready after 30 s");
    }

    /** Writes a configuration under the next version, as the operator does. */
    void publish(ObjectNode config) {
        mConfigVersion += 3;
        mStore.put("op", "config", config.put("Version", mConfigVersion).toString());
    }

    /** Returns a configuration with some queues without approval, all of one service. */
    static ObjectNode config(String... queues) {
        ObjectNode root = Json.object();
        ArrayNode routes = root.putArray("Routes");
        for (String queue : queues) {
            routes.addObject()
                    .put("Name", "r-" + queue)
                    .put("Host", HOST)
                    .put("PathPrefix", "/" + queue + "/")
                    .put("TimeoutMs", 3_000)
                    .put("TargetLatencyMs", 1_000)
                    .put("Priority", 1)
                    .put("Service", SERVICE)
                    .put("MaxAttempts", 3)
                    .put("SlackFactor", 2.0);
        }
        root.putArray("Services").addObject().put("Name", SERVICE).put("AdmissionControl", false);
        root.putObject("Limits");
        return root;
    }

    /** Returns the executor that runs a task. */
    Optional<Executor> runnerOf(String task) {
        return mExecutors.stream().filter(it -> it.isRunning(task)).findFirst();
    }

    /** Returns how often each text occurs in the logs of the daemons. */
    Map<String, Integer> countInLogs(String... texts) throws IOException {
        Map<String, Integer> counts = new LinkedHashMap<>();
        for (String text : texts) {
            int count = 0;
            for (Daemon daemon : mDaemons) {
                count += daemon.logLines(text).size();
            }
            counts.put(text, count);
        }
        return counts;
    }

    @Override
    public void close() {
        for (Daemon daemon : mDaemons) {
            if (daemon.isAlive()) {
                daemon.kill();
            }
        }
        mExecutors.forEach(Executor::crash);
        mStore.stop();
    }
}
