package org.hyssoprouter.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * Allocates free loopback ports below the ephemeral port range of the system, so that no outgoing
 * connection of the cell under test takes a port between its allocation and its use.
 *
 * @since 0.1
 */
public final class PortAllocator {
    private static final byte[] LOOPBACK = {127, 0, 0, 1};
    private static final int FIRST_PORT = 10_000;
    private static final int PORT_COUNT = 20_000;

    private final Random mRandom = new Random(ProcessHandle.current().pid() ^ System.nanoTime());
    private final Set<Integer> mAllocatedPorts = new HashSet<>();

    /** Returns {@code 127.0.0.1:port} with a free port that was not returned before. */
    public String nextAddress() {
        while (true) {
            int port = FIRST_PORT + mRandom.nextInt(PORT_COUNT);
            if (mAllocatedPorts.add(port) && isFree(port)) {
                return "127.0.0.1:" + port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByAddress(LOOPBACK))) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
