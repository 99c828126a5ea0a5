package org.hyssoprouter.bench;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.hyssoprouter.bench.history.History;
import org.hyssoprouter.internal.config.ConfigDocument;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.lib.JobSpec;
import org.hyssoprouter.lib.JobView;
import org.hyssoprouter.standin.executor.ExecutorHistory;
import org.hyssoprouter.standin.platform.PlatformStats;
import org.hyssoprouter.standin.process.ChildProcess;
import org.hyssoprouter.standin.process.PortAllocator;
import org.hyssoprouter.standin.worker.WorkerHistory;
import org.hyssoprouter.util.MessageCodec;
import org.jspecify.annotations.Nullable;

/**
 * Runs a cell on loopback: the platform stand-in, the stand-in of the workers and executors, and
 * the daemons, each in a separate process. The processes stop on {@link #close} or when this
 * process exits.
 *
 * @since 0.1
 */
public final class Cell implements AutoCloseable {
    private static final String PLATFORM_MAIN = "org.hyssoprouter.standin.platform.PlatformMain";
    private static final String FLEET_MAIN = "org.hyssoprouter.standin.FleetMain";
    private static final List<String> STANDIN_FLAGS =
            List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");
    private static final long START_TIMEOUT_MILLIS = 40_000;
    private static final long POLL_MILLIS = 50;

    /** System property that keeps the folder with settings and logs after {@link #close}. */
    private static final String KEEP_FOLDER_PROPERTY = "hyssop.bench.keep";

    private final Path mFolder;
    private final String mPlatformAddress;
    private final List<HostInfo> mHosts;
    private final List<ChildProcess> mStandins = new ArrayList<>();
    private final List<DaemonProcess> mDaemons = new ArrayList<>();
    private final CellClient mClient = new CellClient();
    private final Thread mShutdownHook = new Thread(this::stopProcesses);

    private Cell(CellPlan plan) throws IOException {
        PortAllocator ports = new PortAllocator();
        mFolder = Files.createTempDirectory("hyssop-cell");
        mPlatformAddress = ports.nextAddress();
        mHosts = plan.hosts(ports);
        Runtime.getRuntime().addShutdownHook(mShutdownHook);
    }

    /**
     * Starts the processes and waits until every daemon serves requests.
     *
     * @throws IOException if a process cannot be started
     * @throws IllegalStateException if the cell is not ready within the start timeout
     */
    public static Cell start(CellPlan plan) throws IOException {
        Cell cell = new Cell(plan);
        try {
            cell.startStandins();
            cell.startDaemons(plan);
            cell.applyInitialConfig(plan);
            return cell;
        } catch (IOException | RuntimeException e) {
            cell.close();
            throw e;
        }
    }

    /** Returns the client for caller, operator and stand-in calls. */
    public CellClient client() {
        return mClient;
    }

    /** Returns all daemons, including stopped ones. */
    public List<DaemonProcess> daemons() {
        return mDaemons;
    }

    /**
     * Returns the daemon with the given name.
     *
     * @throws IllegalArgumentException if the cell has no such daemon
     */
    public DaemonProcess findDaemon(String name) {
        return mDaemons.stream()
                .filter(daemon -> daemon.name().equals(name))
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException("cell has no daemon \"" + name + "\""));
    }

    /**
     * Returns a running daemon that is not in {@code excluded}.
     *
     * @throws IllegalStateException if there is no such daemon
     */
    public DaemonProcess liveDaemonExcept(Collection<DaemonProcess> excluded) {
        return mDaemons.stream()
                .filter(daemon -> daemon.process().isAlive() && !excluded.contains(daemon))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no other daemon is running"));
    }

    /** Returns the hosts with which the cell started. */
    public List<HostInfo> hosts() {
        return mHosts;
    }

    /** Returns {@code ip:port} of the platform stand-in. */
    public String platformAddress() {
        return mPlatformAddress;
    }

    /** Returns the operation counters of the platform stand-in. */
    public PlatformStats platformStats() {
        return mClient.getRecord(mPlatformAddress, "/stats", PlatformStats.class);
    }

    /** Returns the histories of all workers. */
    public List<WorkerHistory> workerHistories() {
        return mHosts.stream()
                .map(host -> mClient.getRecord(host.address(), "/history", WorkerHistory.class))
                .toList();
    }

    /** Returns the histories of all executors. */
    public List<ExecutorHistory> executorHistories() {
        return executors().stream()
                .map(info -> mClient.getRecord(info.address(), "/history", ExecutorHistory.class))
                .toList();
    }

    /** Returns the history of the cell with the given answers and no leaving hosts. */
    public History history(List<CallerAnswer> answers) {
        return new History(answers, executorHistories(), workerHistories(), List.of());
    }

    /**
     * Submits a job through a running daemon.
     *
     * @throws IllegalStateException if the job is not accepted within the start timeout
     */
    public void submit(JobSpec spec) {
        await(
                "acceptance of " + spec.id(),
                START_TIMEOUT_MILLIS,
                () -> mClient.submit(liveDaemonExcept(List.of()), spec).status() / 100 == 2);
    }

    /** Returns the view of a job from the first daemon that has it, or none. */
    public Option<JobView> findJob(String id) {
        for (DaemonProcess daemon : mDaemons) {
            CellClient.Reply reply = mClient.callAsOperator(daemon, "GET", "/v1/jobs/" + id, null);
            if (reply.status() == 200) {
                return Option.of(reply.readAs(JobView.class));
            }
        }
        return Option.none();
    }

    /**
     * Returns the owner of a shard, as listed by the first daemon that lists the shard.
     *
     * @throws IllegalStateException if no daemon lists an owner
     */
    public DaemonProcess ownerOf(String shard) {
        return findOwner(shard)
                .getOrElseThrow(
                        () ->
                                new IllegalStateException(
                                        "no daemon lists an owner of shard " + shard));
    }

    private Option<DaemonProcess> findOwner(String shard) {
        for (DaemonProcess daemon : mDaemons) {
            JsonNode rows = mClient.callAsOperator(daemon, "GET", "/v1/shards", null).json();
            for (JsonNode row : rows) {
                if (row.path("shard").asText().equals(shard)) {
                    return Option.of(findDaemon(row.path("owner").asText()));
                }
            }
        }
        return Option.none();
    }

    /** Waits until a shard has an owner and returns it. */
    public DaemonProcess awaitOwner(String shard) {
        await("owner of " + shard, START_TIMEOUT_MILLIS, () -> findOwner(shard).isDefined());
        return ownerOf(shard);
    }

    /**
     * Waits until a shard has an owner other than {@code former}.
     *
     * @return the new owner
     */
    public DaemonProcess awaitOwnerOtherThan(DaemonProcess former, String shard) {
        await("new owner of " + shard, START_TIMEOUT_MILLIS, () -> hasOwnerExcept(former, shard));
        return ownerOf(shard);
    }

    private boolean hasOwnerExcept(@Nullable DaemonProcess former, String shard) {
        return findOwner(shard).exists(owner -> owner != former);
    }

    /** Returns the executors of all hosts. */
    public List<ExecutorInfo> executors() {
        return mHosts.stream().flatMap(host -> host.executors().stream()).toList();
    }

    /**
     * Waits for a condition.
     *
     * @param what description of the condition for the error message
     * @throws IllegalStateException if the condition is not met within {@code timeoutMillis}
     */
    public static void await(String what, long timeoutMillis, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException(
                        "timed out after " + timeoutMillis + " ms waiting for: " + what);
            }
            sleep(POLL_MILLIS);
        }
    }

    /** Sleeps for the given time in milliseconds. */
    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while sleeping", e);
        }
    }

    @Override
    public void close() {
        stopProcesses();
        mClient.close();
        if (System.getProperty(KEEP_FOLDER_PROPERTY) == null) {
            deleteFolder();
        }
        Runtime.getRuntime().removeShutdownHook(mShutdownHook);
    }

    private void startStandins() throws IOException {
        Path hostsFile = mFolder.resolve("hosts.json");
        MessageCodec.json().writeValue(hostsFile.toFile(), mHosts);
        String port = mPlatformAddress.substring(mPlatformAddress.indexOf(':') + 1);
        List<String> platformArgs = List.of("--port", port, "--hosts", hostsFile.toString());
        List<String> fleetArgs = List.of("--hosts", hostsFile.toString());
        mStandins.add(
                ChildProcess.startJava(
                        "platform", mFolder, STANDIN_FLAGS, PLATFORM_MAIN, platformArgs));
        mStandins.add(
                ChildProcess.startJava("fleet", mFolder, STANDIN_FLAGS, FLEET_MAIN, fleetArgs));
        await(
                "platform stand-in",
                START_TIMEOUT_MILLIS,
                () -> mClient.isOk(mPlatformAddress, "/stats"));
        for (HostInfo host : mHosts) {
            await(
                    "stand-in of worker " + host.worker(),
                    START_TIMEOUT_MILLIS,
                    () -> mClient.isOk(host.address(), "/history"));
        }
    }

    private void startDaemons(CellPlan plan) throws IOException {
        PortAllocator ports = new PortAllocator();
        for (CellPlan.Domain domain : plan.domains()) {
            for (int i = 0; i < domain.daemons(); i++) {
                String name = "d-" + domain.name() + "-" + i;
                mDaemons.add(
                        DaemonProcess.start(
                                name, domain, mPlatformAddress, plan.settings(), ports, mFolder));
            }
        }
    }

    private void applyInitialConfig(CellPlan plan) {
        if (mDaemons.isEmpty()) {
            return;
        }
        List<String> regions =
                plan.domains().stream().map(CellPlan.Domain::region).distinct().toList();
        ConfigDocument document = CellConfig.initial(regions);
        await(
                "acceptance of the initial configuration",
                START_TIMEOUT_MILLIS,
                () -> putConfig(mDaemons.get(0), document).status() / 100 == 2);
        for (DaemonProcess daemon : mDaemons) {
            await(
                    "readiness of " + daemon.name(),
                    START_TIMEOUT_MILLIS,
                    () -> mClient.isOk(daemon.httpAddress(), "/ready"));
        }
        for (CellPlan.Domain domain : plan.domains()) {
            await(
                    "owner of " + domain.name(),
                    START_TIMEOUT_MILLIS,
                    () -> hasOwnerExcept(null, domain.name()));
        }
        for (DaemonProcess daemon : mDaemons) {
            await(
                    "request served by " + daemon.name(),
                    START_TIMEOUT_MILLIS,
                    () -> servesRequests(daemon));
        }
    }

    private boolean servesRequests(DaemonProcess daemon) {
        CallerRequest probe = CallerRequest.idempotent("probe", CellConfig.FIRST_CUSTOMER, 0);
        return mClient.send(daemon, probe).ran();
    }

    private CellClient.Reply putConfig(DaemonProcess daemon, ConfigDocument document) {
        return mClient.callAsOperator(daemon, "PUT", "/v1/config", document);
    }

    private void stopProcesses() {
        mDaemons.forEach(daemon -> daemon.process().close());
        mStandins.forEach(ChildProcess::close);
    }

    private void deleteFolder() {
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.getLogger(Cell.class.getName())
                    .log(System.Logger.Level.WARNING, "cannot delete " + mFolder, e);
        }
    }
}
