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
 * Command line of operators.
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
     * @param out results
     * @param err failures
     * @param environment environment variables
     */
    public Hyssop(PrintStream out, PrintStream err, Map<String, String> environment) {
        mOut = out;
        mErr = err;
        mEnvironment = environment;
    }

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] args) {
        Hyssop hyssop = new Hyssop(System.out, System.err, System.getenv());
        System.exit(hyssop.run(args).status());
    }

    /** Runs a command. */
    public ExitCode run(String... args) {
        if (args.length == 0 || args[0].equals("--help")) {
            printHelp();
            return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        if (args[0].equals("completion")) {
            mOut.print(BashCompletion.script(SubcommandRegistry.ALL));
            return ExitCode.OK;
        }
        for (Subcommand verb : SubcommandRegistry.ALL) {
            List<String> words = List.of(verb.name().split(" "));
            if (Arrays.asList(args).subList(0, Math.min(words.size(), args.length)).equals(words)) {
                return run(verb, Arrays.copyOfRange(args, words.size(), args.length));
            }
        }
        return fail(CliError.of(ExitCode.USAGE, unknownCommandMessage(args), "hint.usage"));
    }

    private static String unknownCommandMessage(String... args) {
        return Messages.format("usage.unknown", String.join(" ", args));
    }

    private ExitCode run(Subcommand verb, String... args) {
        Options options = commonOptions();
        verb.options().getOptions().forEach(options::addOption);
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            return fail(usageError(verb, String.valueOf(e.getMessage())));
        }
        if (line.hasOption(HELP)) {
            printHelp(verb, options);
            return ExitCode.OK;
        }
        if (line.getArgList().size() != verb.argumentCount()) {
            return fail(usageError(verb, Messages.format("usage.arguments", verb.arguments())));
        }
        String output = line.getOptionValue("output", "table");
        if (!output.equals("table") && !output.equals("json")) {
            return fail(usageError(verb, Messages.format("usage.output")));
        }
        return createClient(line)
                .flatMap(client -> execute(client, verb, line))
                .fold(this::fail, result -> print(result, output));
    }

    private static Either<CliError, CommandResult> execute(
            ApiClient client, Subcommand verb, CommandLine line) {
        try {
            return verb.action().run(client, line);
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
            String message = "--timeout-millis: expected a whole number";
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

    private ExitCode print(CommandResult result, String output) {
        boolean asJson = output.equals("json");
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

    private static CliError usageError(Subcommand verb, String message) {
        String hint = Messages.format("usage.command", verb.usageLine());
        return new CliError(ExitCode.USAGE, message, hint);
    }

    private void printHelp() {
        mOut.println(Messages.format("usage.command", "COMMAND [OPTIONS] [ARGUMENTS]"));
        for (Subcommand verb : SubcommandRegistry.ALL) {
            String call = (verb.name() + " " + verb.arguments()).strip();
            mOut.println(String.format("  %-20s %s", call, verb.summary()));
        }
        mOut.println(String.format("  %-20s %s", "completion", "print the completion of bash"));
        mOut.println("hyssop COMMAND --help shows the options of a command.");
    }

    private void printHelp(Subcommand verb, Options options) {
        mOut.println(Messages.format("usage.command", verb.usageLine()));
        mOut.println(verb.summary());
        PrintWriter writer = new PrintWriter(mOut, true, StandardCharsets.UTF_8);
        for (Option option : options.getOptions()) {
            String name = "--" + option.getLongOpt();
            String call = option.hasArg() ? name + " " + option.getArgName() : name;
            writer.println(String.format("  %-26s %s", call, option.getDescription()));
        }
    }

    private static Options commonOptions() {
        return new Options()
                .addOption(option("server", "IP:PORT,...", "daemons to try; or HYSSOP_SERVER"))
                .addOption(option("token-file", "FILE", "operators' token; or HYSSOP_TOKEN"))
                .addOption(option("output", "FORM", "table (default) or json"))
                .addOption(option("timeout-millis", "N", "time for the call (15000)"))
                .addOption(Option.builder().longOpt(HELP).desc("show this help").get());
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
    }
}
