package org.hyssoprouter.standin;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.lib.ExecutorInfo;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.standin.executor.ExecutorEndpoint;
import org.hyssoprouter.standin.worker.WorkerEndpoint;
import org.hyssoprouter.util.MonotonicClock;

/**
 * Runs the stand-ins of all workers and executors of a host list in one process, each on its own
 * port.
 *
 * @since 0.1
 */
public final class FleetMain {
    private FleetMain() {}

    /** Starts the stand-ins. Arguments: {@code --hosts FILE}, a JSON list of hosts. */
    public static void main(String[] args) throws ParseException, IOException {
        CommandLine line = StandinBootstrap.parseArguments(args, List.of("hosts"), List.of());
        EventLoopGroup group = StandinBootstrap.newEventLoops();
        for (HostInfo host : StandinBootstrap.readHosts(line.getOptionValue("hosts"))) {
            start(group, host);
        }
    }

    private static void start(EventLoopGroup group, HostInfo host) {
        WorkerEndpoint worker =
                new WorkerEndpoint(group, MonotonicClock.system(), host.worker(), host.capacity());
        new HttpEndpoint(group, host.address(), worker).start();
        for (ExecutorInfo info : host.executors()) {
            ExecutorEndpoint executor =
                    new ExecutorEndpoint(group, info.name(), info.slots(), info.connections());
            new HttpEndpoint(group, info.address(), executor).start();
        }
    }
}
