package org.hyssoprouter.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** All commands of the command line. */
final class Verbs {
    private static final int ACCEPTED = 202;
    private static final List<Column> JOB =
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
    private static final List<Column> HOST =
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
    private static final List<Column> SHARD =
            List.of(
                    new Column("SHARD", "/shard"),
                    new Column("REGION", "/region"),
                    new Column("OWNER", "/owner"),
                    new Column("EPOCH", "/epoch"),
                    new Column("OWNER_LIVE", "/ownerLive"));
    private static final List<Column> CUSTOMER =
            List.of(
                    new Column("CUSTOMER", "/customer"),
                    new Column("HOME", "/homeRegion"),
                    new Column("WEIGHT", "/weight"),
                    new Column("RATE/S", "/requestsPerSecond"),
                    new Column("QUEUE", "/maxQueuedRequests"),
                    new Column("BULK_%", "/bulkSharePercent"),
                    new Column("QUOTA_CPU_MILLIS", "/quota/cpuMillis"));
    private static final List<Column> TOP =
            List.of(
                    new Column("CUSTOMER", "/customer"),
                    new Column("CLASS", "/trafficClass"),
                    new Column("REQUESTS", "/requests"),
                    new Column("REFUSED", "/refused"),
                    new Column("MEAN_MS", "/meanMillis"),
                    new Column("MAX_MS", "/maxMillis"));
    private static final List<Column> EXCEPTION =
            List.of(
                    new Column("SCOPE", "/scope"),
                    new Column("SUBJECT", "/subject"),
                    new Column("REASON", "/reason"));
    private static final List<Column> VERSION =
            List.of(
                    new Column("VERSION", "/version"),
                    new Column("AUTHOR", "/author"),
                    new Column("WALL_MILLIS", "/wallMillis"),
                    new Column("EXCEPTIONS", "/exceptions"));
    private static final List<Column> ROLLOUT =
            List.of(
                    new Column("VERSION", "/version"),
                    new Column("ACCEPTED", "/accepted"),
                    new Column("IN_FORCE_ON", "/inForceOn"),
                    new Column("PENDING_ON", "/pendingOn"));
    private static final List<Column> YAML = List.of();

    /** All commands, in the order of the help. */
    static final List<Verb> ALL =
            List.of(
                    new Verb(
                            "submit",
                            "FILE",
                            "submit the job of a file (- is stdin)",
                            Verbs::submit),
                    new Verb(
                            "status",
                            "ID",
                            "show a job and its tasks",
                            (c, l) -> show(new StatusCommand(c).setId(first(l)).call(), YAML)),
                    new Verb(
                            "cancel",
                            "ID",
                            "cancel a job",
                            (c, l) -> show(new CancelCommand(c).setId(first(l)).call(), JOB)),
                    new Verb(
                            "list",
                            "",
                            "list jobs",
                            customerOption(),
                            (c, l) ->
                                    show(
                                            new ListCommand(c)
                                                    .setCustomer(l.getOptionValue("customer", ""))
                                                    .call(),
                                            JOB)),
                    new Verb(
                            "explain",
                            "ID",
                            "say why a job is where it is",
                            (c, l) -> show(new ExplainCommand(c).setId(first(l)).call(), YAML)),
                    new Verb(
                            "customers",
                            "",
                            "list customers and their limits",
                            (c, l) -> show(new CustomersCommand(c).call(), CUSTOMER)),
                    new Verb(
                            "hosts",
                            "",
                            "list workers",
                            (c, l) -> show(new HostsCommand(c).call(), HOST)),
                    new Verb(
                            "drain",
                            "WORKER",
                            "take a worker out of use",
                            undoOption(),
                            (c, l) ->
                                    show(
                                            new DrainCommand(c)
                                                    .setWorker(first(l))
                                                    .setUndo(l.hasOption("undo"))
                                                    .call(),
                                            HOST)),
                    new Verb(
                            "shards",
                            "",
                            "list shards and their owners",
                            (c, l) -> show(new ShardsCommand(c).call(), SHARD)),
                    new Verb(
                            "config get",
                            "",
                            "show the configuration in force",
                            (c, l) -> show(new ConfigGetCommand(c).call(), YAML)),
                    new Verb(
                            "config set",
                            "FILE",
                            "replace the configuration (- is stdin)",
                            Verbs::configSet),
                    new Verb(
                            "config exceptions",
                            "",
                            "list exceptions with their reasons",
                            Verbs::exceptions),
                    new Verb(
                            "config history",
                            "",
                            "list former versions",
                            (c, l) -> show(new ConfigHistoryCommand(c).call(), VERSION)),
                    new Verb(
                            "config status",
                            "",
                            "say where the newest version is in force",
                            (c, l) -> show(new ConfigStatusCommand(c).call(), ROLLOUT)),
                    new Verb(
                            "top",
                            "",
                            "show the busiest customers and classes of one entry",
                            (c, l) -> show(new TopCommand(c).call(), TOP)));

    private Verbs() {}

    private static Either<CliError, Output> submit(ApiClient client, CommandLine line) {
        return InputFile.document(first(line))
                .flatMap(job -> show(new SubmitCommand(client).setDocument(job).call(), JOB));
    }

    private static Either<CliError, Output> configSet(ApiClient client, CommandLine line) {
        return InputFile.document(first(line))
                .flatMap(config -> new ConfigSetCommand(client).setDocument(config).call())
                .map(
                        reply -> {
                            boolean isPending = reply.status() == ACCEPTED;
                            ExitCode code = isPending ? ExitCode.PENDING : ExitCode.OK;
                            return new Output(reply.body(), ROLLOUT, code);
                        });
    }

    private static Either<CliError, Output> exceptions(ApiClient client, CommandLine line) {
        return new ConfigGetCommand(client)
                .call()
                .map(
                        reply -> {
                            JsonNode exceptions = reply.body().path("exceptions");
                            return new Output(exceptions, EXCEPTION, ExitCode.OK);
                        });
    }

    private static Either<CliError, Output> show(
            Either<CliError, ApiReply> result, List<Column> columns) {
        return result.map(reply -> new Output(reply.body(), columns, ExitCode.OK));
    }

    private static String first(CommandLine line) {
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
                .addOption(Option.builder().longOpt("undo").desc("put it back into use").get());
    }
}
