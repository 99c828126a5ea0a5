package org.hyssoprouter.bench;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.bench.placement.DecisionsCase;
import org.hyssoprouter.bench.placement.PackingCase;

/**
 * Command-line entry point of {@code bin/measure}, which runs a measurement by name.
 *
 * @since 0.1
 */
public final class Measure {
    private static final List<MeasureCase> CASES =
            List.of(
                    new ControlCase(),
                    new SlopesCase(),
                    new FaultsCase(),
                    new JournalCase(),
                    new TakeoverCase(),
                    new DecisionsCase(),
                    new PackingCase(),
                    new WaitingCase());

    private static final String DEFAULT_SEED = "1";
    private static final String DEFAULT_SECONDS = "30";

    private Measure() {}

    /** Takes {@code CASE [--seed N] [--seconds S]}; exits with 1 on failure, 2 on wrong usage. */
    public static void main(String[] args) throws Exception {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("seed").hasArg().get());
        options.addOption(Option.builder().longOpt("seconds").hasArg().get());
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            return;
        }
        MeasureOptions measureOptions =
                new MeasureOptions(
                        Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED)),
                        Integer.parseInt(line.getOptionValue("seconds", DEFAULT_SECONDS)));
        String name = line.getArgs().length == 1 ? line.getArgs()[0] : "";
        for (MeasureCase candidate : CASES) {
            if (candidate.name().equals(name)) {
                System.exit(candidate.run(measureOptions, System.out) ? 0 : 1);
            }
        }
        System.err.println("usage: bin/measure CASE [--seed N] [--seconds S], where CASE is");
        CASES.forEach(c -> System.err.println("  " + c.name() + "  " + c.description()));
        System.exit(2);
    }
}
