package org.hyssoprouter.standin.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.standin.StandinBootstrap;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Runs the stand-in of the platform as a process.
 *
 * @since 0.1
 */
public final class PlatformMain {
    private PlatformMain() {}

    /** Starts the platform. Arguments: {@code --port P --hosts FILE}, a JSON list of hosts. */
    public static void main(String[] args) throws ParseException, IOException {
        CommandLine line =
                StandinBootstrap.parseArguments(args, List.of("port", "hosts"), List.of());
        EventLoopGroup group = StandinBootstrap.newEventLoops();
        PlatformEndpoint platform =
                new PlatformEndpoint(
                        group,
                        MonotonicClock.system(),
                        StandinBootstrap.readHosts(line.getOptionValue("hosts")));
        StandinBootstrap.serve(group, line.getOptionValue("port"), platform);
    }
}
