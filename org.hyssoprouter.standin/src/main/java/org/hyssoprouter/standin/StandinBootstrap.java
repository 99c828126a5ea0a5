package org.hyssoprouter.standin;

import com.fasterxml.jackson.core.type.TypeReference;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.hyssoprouter.lib.HostInfo;
import org.hyssoprouter.util.MessageCodec;

/**
 * Startup helpers shared by the main classes of the stand-ins.
 *
 * @since 0.1
 */
public final class StandinBootstrap {
    private static final int EVENT_LOOP_THREADS = 2;

    private StandinBootstrap() {}

    /**
     * Parses a command line in which every option has a value.
     *
     * @param args command line
     * @param required names of options that must be given
     * @param optional names of optional options
     * @throws ParseException if a required option is missing or an option is unknown
     */
    public static CommandLine parseArguments(
            String[] args, List<String> required, List<String> optional) throws ParseException {
        Options options = new Options();
        for (String name : required) {
            options.addOption(Option.builder().longOpt(name).hasArg().required().get());
        }
        for (String name : optional) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        return new DefaultParser().parse(options, args);
    }

    /**
     * Reads a JSON list of hosts.
     *
     * @throws IOException if the file cannot be read or is malformed
     */
    public static List<HostInfo> readHosts(String file) throws IOException {
        return MessageCodec.json().readValue(new File(file), new TypeReference<>() {});
    }

    /** Creates the event loops of a stand-in process. */
    public static EventLoopGroup newEventLoops() {
        return new NioEventLoopGroup(EVENT_LOOP_THREADS);
    }

    /** Starts an endpoint on a loopback port; it runs until the process exits. */
    public static void serve(EventLoopGroup group, String port, StandinHandler handler) {
        new HttpEndpoint(group, "127.0.0.1:" + port, handler).start();
    }
}
