package org.hyssoprouter.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hyssoprouter.standin.process.ChildProcess;
import org.hyssoprouter.standin.process.PortAllocator;

/**
 * Daemon of a cell, whose process can be killed and restarted.
 *
 * @since 0.1
 */
public final class DaemonProcess {
    private static final String MAIN_CLASS = "org.hyssoprouter.daemon.Hyssopd";
    private static final List<String> FLAGS =
            List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss256k");

    private final String mName;
    private final CellPlan.Domain mDomain;
    private final String mHttpAddress;
    private final Path mFolder;
    private final Path mSettingsFile;
    private ChildProcess mProcess;

    private DaemonProcess(
            String name, CellPlan.Domain domain, String httpAddress, Path folder, Path settingsFile)
            throws IOException {
        mName = name;
        mDomain = domain;
        mHttpAddress = httpAddress;
        mFolder = folder;
        mSettingsFile = settingsFile;
        mProcess = launch();
    }

    static DaemonProcess start(
            String name,
            CellPlan.Domain domain,
            String platformAddress,
            Map<String, String> settings,
            PortAllocator ports,
            Path folder)
            throws IOException {
        String httpAddress = ports.nextAddress();
        List<String> lines = new ArrayList<>();
        lines.add("name: " + name);
        lines.add("region: " + domain.region());
        lines.add("domain: " + domain.name());
        lines.add("http: " + httpAddress);
        lines.add("peer: " + ports.nextAddress());
        lines.add("platform: " + platformAddress);
        lines.add("operatorToken: " + CellClient.OPERATOR_TOKEN);
        settings.forEach((key, value) -> lines.add(key + ": " + value));
        Path file = folder.resolve(name + ".yaml");
        Files.write(file, lines);
        return new DaemonProcess(name, domain, httpAddress, folder, file);
    }

    /** Returns the name of the daemon. */
    public String name() {
        return mName;
    }

    /** Returns the region of the daemon. */
    public String region() {
        return mDomain.region();
    }

    /** Returns the failure domain of the daemon. */
    public String domain() {
        return mDomain.name();
    }

    /** Returns {@code ip:port} of the HTTP API. */
    public String httpAddress() {
        return mHttpAddress;
    }

    /** Returns the current process, or the last one if the daemon is stopped. */
    public synchronized ChildProcess process() {
        return mProcess;
    }

    /**
     * Restarts the daemon with the same settings after its process has ended.
     *
     * @throws IllegalStateException if the process is still running
     */
    public synchronized void restart() throws IOException {
        if (mProcess.isAlive()) {
            throw new IllegalStateException(
                    "cannot restart " + mName + ": process is still running");
        }
        mProcess = launch();
    }

    private ChildProcess launch() throws IOException {
        List<String> args = List.of("--config", mSettingsFile.toString());
        return ChildProcess.startJava(mName, mFolder, FLAGS, MAIN_CLASS, args);
    }
}
