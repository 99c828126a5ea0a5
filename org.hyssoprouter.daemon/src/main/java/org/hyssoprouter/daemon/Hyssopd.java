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
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private Hyssopd() {}

    /**
     * Runs the daemon until the process receives a termination signal.
     *
     * @param args {@code --config FILE}, and {@code --check} to validate the file and exit
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
            settings.getLeft().forEach(error -> System.err.println("hyssopd: " + error));
            System.exit(EXIT_FAILURE);
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
        long timeoutMillis = TimeUnit.SECONDS.toMillis(settings.timing().drainSeconds());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, timeoutMillis), "stop"));
        daemon.start();
    }

    // Without halt() the exit status of the process would be that of the signal.
    private static void stop(Daemon daemon, long timeoutMillis) {
        Thread stopThread = new Thread(daemon::stop, "stopping");
        stopThread.start();
        try {
            stopThread.join(timeoutMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LogSetup.flush();
        Runtime.getRuntime().halt(stopThread.isAlive() ? EXIT_FAILURE : 0);
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
                        .desc("validate the settings file, report all errors and exit")
                        .get();
        return new Options().addOption(config).addOption(check);
    }
}
