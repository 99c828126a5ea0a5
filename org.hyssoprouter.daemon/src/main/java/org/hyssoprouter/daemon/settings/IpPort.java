package org.hyssoprouter.daemon.settings;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * IP address and port. Host names are not accepted, so the daemon never resolves names.
 *
 * @param ip IPv4 address in dotted form, or IPv6 address without brackets
 * @param port port, 1 to 65535
 * @since 0.1
 */
public record IpPort(String ip, int port) {
    private static final Pattern V4 =
            Pattern.compile(
                    "((?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)(?:\\.(?!:)|(?=:))){4}):(\\d{1,5})");
    private static final Pattern V6 =
            Pattern.compile("\\[([0-9a-fA-F:.]*:[0-9a-fA-F:.]*)]:(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    /** Parses {@code ip:port} or {@code [ip]:port}; returns none if the text is malformed. */
    public static Option<IpPort> parse(String text) {
        Matcher matcher = V4.matcher(text);
        if (!matcher.matches()) {
            matcher = V6.matcher(text);
            if (!matcher.matches()) {
                return Option.none();
            }
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAX_PORT) {
            return Option.none();
        }
        return Option.some(new IpPort(matcher.group(1), port));
    }

    /** Returns the address as a socket address, without a name lookup. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    /** Returns the address in the format that {@link #parse} accepts. */
    @Override
    public String toString() {
        return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    }
}
