package org.hyssoprouter.standin.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Allocates free loopback ports below the ephemeral port range of the system, so that no outgoing
 * connection of the cell under test takes a port between its allocation and its use.
 *
 * <p>Each process allocates from blocks of its own, so that no other process takes a port while its
 * listener restarts. A process claims a block by listening on the first port until it exits.
 *
 * @since 0.1
 */
public final class PortAllocator {
    private static final byte[] LOOPBACK = {127, 0, 0, 1};
    private static final int FIRST_PORT = 10_000;
    private static final int BLOCK_COUNT = 400;
    private static final int BLOCK_PORTS = 50;
    private static final int MAX_CLAIM_ATTEMPTS = 10 * BLOCK_COUNT;

    private static final Blocks BLOCKS = new Blocks();

    /**
     * Returns {@code 127.0.0.1:port} with a free port that this process has not allocated before.
     */
    public String nextAddress() {
        return "127.0.0.1:" + nextPort();
    }

    /** Returns a free port that this process has not allocated before. */
    public int nextPort() {
        return BLOCKS.nextPort();
    }

    /** Blocks of this process. */
    private static final class Blocks {
        private final Random mRandom =
                new Random(ProcessHandle.current().pid() ^ System.nanoTime());
        private final List<ServerSocket> mClaims = new ArrayList<>();
        private int mNextPort;
        private int mEndPort;

        synchronized int nextPort() {
            while (true) {
                if (mNextPort == mEndPort) {
                    claimBlock();
                }
                int port = mNextPort++;
                if (isFree(port)) {
                    return port;
                }
            }
        }

        private void claimBlock() {
            IOException last = null;
            for (int i = 0; i < MAX_CLAIM_ATTEMPTS; i++) {
                int port = FIRST_PORT + mRandom.nextInt(BLOCK_COUNT) * BLOCK_PORTS;
                try {
                    mClaims.add(listen(port));
                    mNextPort = port + 1;
                    mEndPort = port + BLOCK_PORTS;
                    return;
                } catch (IOException e) {
                    // Another process or an earlier claim of this one holds the block.
                    last = e;
                }
            }
            throw new IllegalStateException(
                    "all blocks of ports from " + FIRST_PORT + " are in use", last);
        }
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByAddress(LOOPBACK));
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = listen(port)) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
