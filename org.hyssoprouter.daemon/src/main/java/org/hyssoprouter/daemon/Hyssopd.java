package org.hyssoprouter.daemon;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.daemon.log.LogSetup;
import org.hyssoprouter.daemon.settings.DaemonSettings;
import org.hyssoprouter.daemon.settings.SettingsError;
import org.hyssoprouter.daemon.settings.SettingsLoader;

/**
 * Entry point of the daemon.
 *
 * @since 0.1
 */
public final class Hyssopd {
    private static final int EXIT_FAULT = 1;
    private static final int EXIT_USAGE = 2;

    private Hyssopd() {}

    /**
     * Runs the daemon until it is told to stop.
     *
     * @param args {@code --config FILE}, and {@code --check} to only check the file
     */
    public static void main(String[] args) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            System.err.println("hyssopd: " + e.getMessage());
            System.err.println("usage: hyssopd --config FILE [--check]");
            System.exit(EXIT_USAGE);
            return;
        }
        Path file = Path.of(line.getOptionValue("config"));
        Either<List<SettingsError>, DaemonSettings> settings = SettingsLoader.load(file);
        if (settings.isLeft()) {
            settings.getLeft().forEach(fault -> System.err.println("hyssopd: " + fault));
            System.exit(EXIT_FAULT);
            return;
        }
        if (line.hasOption("check")) {
            System.out.println(file + ": no faults");
            return;
        }
        run(settings.get());
    }

    private static void run(DaemonSettings settings) {
        LogSetup.install();
        Daemon daemon = DaggerDaemonComponent.factory().create(settings).daemon();
        long boundMillis = TimeUnit.SECONDS.toMillis(settings.timing().drainSeconds());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, boundMillis), "stop"));
        daemon.start();
    }

    // Without the halt the process would end with the status of its signal.
    private static void stop(Daemon daemon, long boundMillis) {
        Thread stopping = new Thread(daemon::stop, "stopping");
        stopping.start();
        try {
            stopping.join(boundMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LogSetup.flush();
        Runtime.getRuntime().halt(stopping.isAlive() ? EXIT_FAULT : 0);
    }

    private static Options options() {
        Option config =
                Option.builder()
                        .longOpt("config")
                        .hasArg()
                        .argName("FILE")
                        .required()
                        .desc("settings file in YAML")
                        .get();
        Option check =
                Option.builder()
                        .longOpt("check")
                        .desc("check the settings file and report every fault")
                        .get();
        return new Options().addOption(config).addOption(check);
    }
}
