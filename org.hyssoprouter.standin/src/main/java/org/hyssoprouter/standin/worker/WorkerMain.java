package org.hyssoprouter.standin.worker;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.lib.Room;
import org.hyssoprouter.standin.StandinBootstrap;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Runs the stand-in of one worker as a process.
 *
 * @since 0.1
 */
public final class WorkerMain {
    private WorkerMain() {}

    /**
     * Starts the worker. Arguments: {@code --port P --name W --cpu-millis N --memory-bytes N
     * [--accelerators N]}.
     */
    public static void main(String[] args) throws ParseException {
        CommandLine line =
                StandinBootstrap.parseArguments(
                        args,
                        List.of("port", "name", "cpu-millis", "memory-bytes"),
                        List.of("accelerators"));
        Room capacity =
                new Room(
                        Long.parseLong(line.getOptionValue("cpu-millis")),
                        Long.parseLong(line.getOptionValue("memory-bytes")),
                        Integer.parseInt(line.getOptionValue("accelerators", "0")));
        EventLoopGroup group = StandinBootstrap.newEventLoops();
        WorkerEndpoint worker =
                new WorkerEndpoint(
                        group, MonotonicClock.system(), line.getOptionValue("name"), capacity);
        StandinBootstrap.serve(group, line.getOptionValue("port"), worker);
    }
}
