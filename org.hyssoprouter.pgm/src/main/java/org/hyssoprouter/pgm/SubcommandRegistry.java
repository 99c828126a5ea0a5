package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Defines the subcommands of the command line. */
final class SubcommandRegistry {
    /** Status of a configuration change that is durable but not applied everywhere yet. */
    private static final int HTTP_ACCEPTED = 202;

    private static final List<Column> JOB_COLUMNS =
            List.of(
                    new Column("ID", "/spec/id"),
                    new Column("CUSTOMER", "/spec/customer"),
                    new Column("KIND", "/spec/kind"),
                    new Column("CLASS", "/spec/trafficClass"),
                    new Column("TASKS", "/spec/taskCount"),
                    new Column("STATE", "/state"),
                    new Column("SHARD", "/shard"),
                    new Column("WAITED_MS", "/waitedMillis"),
                    new Column("REASON", "/reason"));
    private static final List<Column> HOST_COLUMNS =
            List.of(
                    new Column("WORKER", "/host/worker"),
                    new Column("SHARD", "/shard"),
                    new Column("RACK", "/host/rack"),
                    new Column("STATE", "/host/state"),
                    new Column("DRAINED", "/drained"),
                    new Column("USABLE", "/usable"),
                    new Column("TASKS", "/tasks"),
                    new Column("CPU_MILLIS", "/used/cpuMillis"),
                    new Column("OF", "/host/capacity/cpuMillis"));
    private static final List<Column> SHARD_COLUMNS =
            List.of(
                    new Column("SHARD", "/shard"),
                    new Column("REGION", "/region"),
                    new Column("OWNER", "/owner"),
                    new Column("EPOCH", "/epoch"),
                    new Column("OWNER_LIVE", "/ownerLive"));
    private static final List<Column> CUSTOMER_COLUMNS =
            List.of(
                    new Column("CUSTOMER", "/customer"),
                    new Column("HOME", "/homeRegion"),
                    new Column("WEIGHT", "/weight"),
                    new Column("RATE/S", "/requestsPerSecond"),
                    new Column("QUEUE", "/maxQueuedRequests"),
                    new Column("BULK_%", "/bulkSharePercent"),
                    new Column("QUOTA_CPU_MILLIS", "/quota/cpuMillis"));
    private static final List<Column> TOP_COLUMNS =
            List.of(
                    new Column("CUSTOMER", "/customer"),
                    new Column("CLASS", "/trafficClass"),
                    new Column("REQUESTS", "/requests"),
                    new Column("REFUSED", "/refused"),
                    new Column("MEAN_MS", "/meanMillis"),
                    new Column("MAX_MS", "/maxMillis"));
    private static final List<Column> EXCEPTION_COLUMNS =
            List.of(
                    new Column("SCOPE", "/scope"),
                    new Column("SUBJECT", "/subject"),
                    new Column("REASON", "/reason"));
    private static final List<Column> VERSION_COLUMNS =
            List.of(
                    new Column("VERSION", "/version"),
                    new Column("AUTHOR", "/author"),
                    new Column("WALL_MILLIS", "/wallMillis"),
                    new Column("EXCEPTIONS", "/exceptions"));
    private static final List<Column> ROLLOUT_COLUMNS =
            List.of(
                    new Column("VERSION", "/version"),
                    new Column("ACCEPTED", "/accepted"),
                    new Column("IN_FORCE_ON", "/inForceOn"),
                    new Column("PENDING_ON", "/pendingOn"));

    /** Prints the result as YAML. */
    private static final List<Column> NO_COLUMNS = List.of();

    /** All subcommands, in the order in which the help lists them. */
    static final List<Subcommand> ALL =
            List.of(
                    new Subcommand(
                            "submit",
                            "FILE",
                            "submit a job from a file (- is stdin)",
                            SubcommandRegistry::submit),
                    new Subcommand(
                            "status",
                            "ID",
                            "show a job and its tasks",
                            (client, line) ->
                                    toResult(
                                            new StatusCommand(client)
                                                    .setId(firstArgument(line))
                                                    .call(),
                                            NO_COLUMNS)),
                    new Subcommand(
                            "cancel",
                            "ID",
                            "cancel a job",
                            (client, line) ->
                                    toResult(
                                            new CancelCommand(client)
                                                    .setId(firstArgument(line))
                                                    .call(),
                                            JOB_COLUMNS)),
                    new Subcommand(
                            "list",
                            "",
                            "list jobs",
                            customerOption(),
                            (client, line) ->
                                    toResult(
                                            new ListCommand(client)
                                                    .setCustomer(
                                                            line.getOptionValue("customer", ""))
                                                    .call(),
                                            JOB_COLUMNS)),
                    new Subcommand(
                            "explain",
                            "ID",
                            "explain why a job is in its current state",
                            (client, line) ->
                                    toResult(
                                            new ExplainCommand(client)
                                                    .setId(firstArgument(line))
                                                    .call(),
                                            NO_COLUMNS)),
                    new Subcommand(
                            "customers",
                            "",
                            "list customers and their limits",
                            (client, line) ->
                                    toResult(
                                            new CustomersCommand(client).call(), CUSTOMER_COLUMNS)),
                    new Subcommand(
                            "hosts",
                            "",
                            "list workers",
                            (client, line) ->
                                    toResult(new HostsCommand(client).call(), HOST_COLUMNS)),
                    new Subcommand(
                            "drain",
                            "WORKER",
                            "drain a worker",
                            undoOption(),
                            (client, line) ->
                                    toResult(
                                            new DrainCommand(client)
                                                    .setWorker(firstArgument(line))
                                                    .setUndo(line.hasOption("undo"))
                                                    .call(),
                                            HOST_COLUMNS)),
                    new Subcommand(
                            "shards",
                            "",
                            "list shards and their owners",
                            (client, line) ->
                                    toResult(new ShardsCommand(client).call(), SHARD_COLUMNS)),
                    new Subcommand(
                            "config get",
                            "",
                            "show the current configuration",
                            (client, line) ->
                                    toResult(new ConfigGetCommand(client).call(), NO_COLUMNS)),
                    new Subcommand(
                            "config set",
                            "FILE",
                            "replace the configuration (- is stdin)",
                            SubcommandRegistry::setConfig),
                    new Subcommand(
                            "config exceptions",
                            "",
                            "list exceptions with their reasons",
                            SubcommandRegistry::listExceptions),
                    new Subcommand(
                            "config history",
                            "",
                            "list previous versions",
                            (client, line) ->
                                    toResult(
                                            new ConfigHistoryCommand(client).call(),
                                            VERSION_COLUMNS)),
                    new Subcommand(
                            "config status",
                            "",
                            "show which daemons apply the newest version",
                            (client, line) ->
                                    toResult(
                                            new ConfigStatusCommand(client).call(),
                                            ROLLOUT_COLUMNS)),
                    new Subcommand(
                            "top",
                            "",
                            "show the busiest customers and classes of a daemon",
                            (client, line) ->
                                    toResult(new TopCommand(client).call(), TOP_COLUMNS)));

    private SubcommandRegistry() {}

    private static Either<CliError, CommandResult> submit(ApiClient client, CommandLine line) {
        return InputFile.readDocument(firstArgument(line))
                .flatMap(
                        job ->
                                toResult(
                                        new SubmitCommand(client).setDocument(job).call(),
                                        JOB_COLUMNS));
    }

    private static Either<CliError, CommandResult> setConfig(ApiClient client, CommandLine line) {
        return InputFile.readDocument(firstArgument(line))
                .flatMap(config -> new ConfigSetCommand(client).setDocument(config).call())
                .map(
                        reply -> {
                            boolean isPending = reply.status() == HTTP_ACCEPTED;
                            ExitCode code = isPending ? ExitCode.PENDING : ExitCode.OK;
                            return new CommandResult(reply.body(), ROLLOUT_COLUMNS, code);
                        });
    }

    private static Either<CliError, CommandResult> listExceptions(
            ApiClient client, CommandLine line) {
        return new ConfigGetCommand(client)
                .call()
                .map(
                        reply -> {
                            JsonNode exceptions = reply.body().path("exceptions");
                            return new CommandResult(exceptions, EXCEPTION_COLUMNS, ExitCode.OK);
                        });
    }

    private static Either<CliError, CommandResult> toResult(
            Either<CliError, ApiReply> result, List<Column> columns) {
        return result.map(reply -> new CommandResult(reply.body(), columns, ExitCode.OK));
    }

    private static String firstArgument(CommandLine line) {
        return line.getArgList().get(0);
    }

    private static Options customerOption() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("customer")
                                .hasArg()
                                .argName("NAME")
                                .desc("only jobs of this customer")
                                .get());
    }

    private static Options undoOption() {
        return new Options()
                .addOption(Option.builder().longOpt("undo").desc("cancel the drain").get());
    }
}
