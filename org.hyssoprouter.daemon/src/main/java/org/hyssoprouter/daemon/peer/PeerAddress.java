package org.hyssoprouter.daemon.peer;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses peer addresses, which consist of a numeric IP address and a port; never a host name. */
final class PeerAddress {
    private static final int MAX_PORT = 65535;

    private PeerAddress() {}

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text is not a valid address
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not ip:port: " + text);
        }
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        int port = Integer.parseInt(text.substring(colon + 1));
        if (ip == null || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("address is not ip:port: " + text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("address is not ip:port: " + text, e);
        }
    }
}
