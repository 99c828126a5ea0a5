package org.hyssoprouter.pgm;

import io.vavr.control.Either;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Command-line client for operators.
 *
 * @since 0.1
 */
public final class Hyssop {
    private static final String DEFAULT_TIMEOUT_MILLIS = "15000";
    private static final String HELP = "help";

    private final PrintStream mOut;
    private final PrintStream mErr;
    private final Map<String, String> mEnvironment;

    /**
     * Creates the command line.
     *
     * @param out stream for results
     * @param err stream for errors and hints
     * @param environment environment variables
     */
    public Hyssop(PrintStream out, PrintStream err, Map<String, String> environment) {
        mOut = out;
        mErr = err;
        mEnvironment = environment;
    }

    /** Runs a command and exits with its exit code. */
    public static void main(String[] args) {
        Hyssop hyssop = new Hyssop(System.out, System.err, System.getenv());
        System.exit(hyssop.run(args).status());
    }

    /** Runs the command given by {@code args} and returns its exit code. */
    public ExitCode run(String... args) {
        if (args.length == 0 || args[0].equals("--help")) {
            printHelp();
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        if (args[0].equals("completion")) {
            mOut.print(BashCompletion.script(SubcommandRegistry.ALL));
            return ExitCode.OK;
        }
        for (Subcommand subcommand : SubcommandRegistry.ALL) {
            List<String> words = List.of(subcommand.name().split(" "));
            if (Arrays.asList(args).subList(0, Math.min(words.size(), args.length)).equals(words)) {
                return run(subcommand, Arrays.copyOfRange(args, words.size(), args.length));
            }
        }
        return fail(CliError.of(ExitCode.USAGE, unknownCommandMessage(args), "hint.usage"));
    }

    private static String unknownCommandMessage(String... args) {
        return Messages.format("usage.unknown", String.join(" ", args));
    }

    private ExitCode run(Subcommand subcommand, String... args) {
        Options options = commonOptions();
        subcommand.options().getOptions().forEach(options::addOption);
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return fail(usageError(subcommand, String.valueOf(e.getMessage())));
        }
        if (line.hasOption(HELP)) {
            printHelp(subcommand, options);
            return ExitCode.OK;
        }
        if (line.getArgList().size() != subcommand.argumentCount()) {
            return fail(
                    usageError(
                            subcommand,
                            Messages.format("usage.arguments", subcommand.arguments())));
        }
        String format = line.getOptionValue("output", "table");
        if (!format.equals("table") && !format.equals("json")) {
            return fail(usageError(subcommand, Messages.format("usage.output")));
        }
        return createClient(line)
                .flatMap(client -> execute(client, subcommand, line))
                .fold(this::fail, result -> print(result, format));
    }

    private static Either<CliError, CommandResult> execute(
            ApiClient client, Subcommand subcommand, CommandLine line) {
        try {
            return subcommand.action().run(client, line);
        } finally {
            client.close();
        }
    }

    private Either<CliError, ApiClient> createClient(CommandLine line) {
        String servers =
                line.getOptionValue("server", mEnvironment.getOrDefault("HYSSOP_SERVER", ""));
        if (servers.isBlank()) {
            String message = Messages.format("usage.server");
            return Either.left(CliError.of(ExitCode.USAGE, message, "hint.server"));
        }
        long timeoutMillis;
        try {
            timeoutMillis =
                    Long.parseLong(line.getOptionValue("timeout-millis", DEFAULT_TIMEOUT_MILLIS));
        } catch (NumberFormatException e) {
            String message = "--timeout-millis: expected an integer";
            return Either.left(CliError.of(ExitCode.USAGE, message, "hint.usage"));
        }
        return readToken(line)
                .map(token -> new ApiClient(List.of(servers.split(",")), token, timeoutMillis));
    }

    private Either<CliError, String> readToken(CommandLine line) {
        if (!line.hasOption("token-file")) {
            return Either.right(mEnvironment.getOrDefault("HYSSOP_TOKEN", ""));
        }
        return InputFile.readText(line.getOptionValue("token-file")).map(String::strip);
    }

    private ExitCode print(CommandResult result, String format) {
        boolean asJson = format.equals("json");
        mOut.print(
                asJson ? ResultFormatter.formatJson(result) : ResultFormatter.formatTable(result));
        if (result.exitCode() == ExitCode.PENDING) {
            mErr.println(Messages.format("hint.pending"));
        }
        return result.exitCode();
    }

    private ExitCode fail(CliError error) {
        mErr.println("hyssop: " + error.message());
        if (!error.hint().isEmpty()) {
            mErr.println(error.hint());
        }
        return error.exitCode();
    }

    private static CliError usageError(Subcommand subcommand, String message) {
        String hint = Messages.format("usage.command", subcommand.usageLine());
        return new CliError(ExitCode.USAGE, message, hint);
    }

    private void printHelp() {
        mOut.println(Messages.format("usage.command", "COMMAND [OPTIONS] [ARGUMENTS]"));
        for (Subcommand subcommand : SubcommandRegistry.ALL) {
            String usage = (subcommand.name() + " " + subcommand.arguments()).strip();
            mOut.println(String.format("  %-20s %s", usage, subcommand.summary()));
        }
        mOut.println(String.format("  %-20s %s", "completion", "print the bash completion script"));
        mOut.println("hyssop COMMAND --help shows the options of a command.");
    }

    private void printHelp(Subcommand subcommand, Options options) {
        mOut.println(Messages.format("usage.command", subcommand.usageLine()));
        mOut.println(subcommand.summary());
        PrintWriter writer = new PrintWriter(mOut, true, StandardCharsets.UTF_8);
        for (Option option : options.getOptions()) {
            String name = "--" + option.getLongOpt();
            String usage = option.hasArg() ? name + " " + option.getArgName() : name;
            writer.println(String.format("  %-26s %s", usage, option.getDescription()));
        }
    }

    private static Options commonOptions() {
        return new Options()
                .addOption(
                        option(
                                "server",
                                "IP:PORT,...",
                                "daemons, tried in order; or HYSSOP_SERVER"))
                .addOption(option("token-file", "FILE", "operators' token; or HYSSOP_TOKEN"))
                .addOption(option("output", "FORM", "table (default) or json"))
                .addOption(option("timeout-millis", "N", "timeout of a call (15000)"))
                .addOption(Option.builder().longOpt(HELP).desc("show this help").get());
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
}
