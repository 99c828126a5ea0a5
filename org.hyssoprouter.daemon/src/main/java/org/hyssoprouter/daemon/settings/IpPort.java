package org.hyssoprouter.daemon.settings;

import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An address by IP number; names are not resolved anywhere in the daemon.
 *
 * @param ip IPv4 number in dotted form, or IPv6 number without brackets
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

    /** Parses {@code ip:port} or {@code [ip]:port}; none when it has another form. */
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

    /** Returns the address as a socket address; no name is looked up. */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(ip, port);
    }

    /** Returns the form that {@link #parse} reads. */
    @Override
    public String toString() {
        return ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    }
}
