package org.hyssoprouter.standin.executor;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.standin.StandinBootstrap;

/**
 * Runs the stand-in of one executor as a process.
 *
 * @since 0.1
 */
public final class ExecutorMain {
    private ExecutorMain() {}

    /** Starts the executor. Arguments: {@code --port P --name E [--slots 8] [--connections 64]}. */
    public static void main(String[] args) throws ParseException {
        CommandLine line =
                StandinBootstrap.parseArguments(
                        args, List.of("port", "name"), List.of("slots", "connections"));
        EventLoopGroup group = StandinBootstrap.newEventLoops();
        ExecutorEndpoint executor =
                new ExecutorEndpoint(
                        group,
                        line.getOptionValue("name"),
                        Integer.parseInt(line.getOptionValue("slots", "8")),
                        Integer.parseInt(line.getOptionValue("connections", "64")));
        StandinBootstrap.serve(group, line.getOptionValue("port"), executor);
    }
}
