package org.hyssoprouter.standin.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * TCP proxy on loopback that can delay or drop the forwarded bytes and close connections.
 *
 * @since 0.2
 */
public final class FaultProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG = 200;

    private final ServerSocket mListener;
    private final int mTargetPort;
    private final List<ProxiedConnection> mConnections = new CopyOnWriteArrayList<>();
    private final AtomicLong mForwardedBytes = new AtomicLong();
    private volatile boolean mDropToServer;
    private volatile boolean mDropToClient;
    private volatile boolean mRefusing;
    private volatile long mDelayMillis;
    private volatile long mCloseAfterBytes = Long.MAX_VALUE;

    /** Starts a proxy to a port on loopback. */
    public FaultProxy(int targetPort) throws IOException {
        mTargetPort = targetPort;
        mListener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptConnections);
    }

    /** Returns the address, {@code ip:port}, to which clients connect. */
    public String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Drops all further bytes in both directions; connections stay open. */
    public void dropAll() {
        mDropToServer = true;
        mDropToClient = true;
    }

    /** Drops bytes from the server; bytes from clients are still forwarded. */
    public void dropToClients() {
        mDropToClient = true;
    }

    /** Drops bytes from clients; bytes from the server are still forwarded. */
    public void dropToServer() {
        mDropToServer = true;
    }

    /** Drops all further bytes of the open connections, which stay open; new connections work. */
    public void blackholeOpenConnections() {
        mConnections.forEach(connection -> connection.mBlackholed = true);
    }

    /** Closes all connections, and each new one at once. */
    public void refuseConnections() {
        mRefusing = true;
        closeConnections();
    }

    /** Sets the delay before each forwarded block of bytes; 0 for none. */
    public void setDelay(long millis) {
        mDelayMillis = millis;
    }

    /**
     * Accepts connections and forwards bytes again, without delay. Connections from which bytes
     * were dropped stay blackholed; new connections work.
     */
    public void clearFaults() {
        mDropToServer = false;
        mDropToClient = false;
        mRefusing = false;
        mDelayMillis = 0;
    }

    /**
     * Closes all open connections once {@code bytes} have been forwarded to the server in total.
     */
    public void closeAfterBytes(long bytes) {
        mCloseAfterBytes = bytes;
    }

    /** Closes all open connections. */
    public void closeConnections() {
        mConnections.forEach(ProxiedConnection::close);
    }

    /** Client connection and the corresponding connection to the server. */
    private static final class ProxiedConnection {
        final Socket mClient;
        final Socket mServer;
        volatile boolean mBlackholed;

        ProxiedConnection(Socket client, Socket server) {
            mClient = client;
            mServer = server;
        }

        void close() {
            close(mClient);
            close(mServer);
        }

        private static void close(Socket socket) {
            try {
                socket.close();
            } catch (IOException e) {
                System.err.println("proxy: cannot close socket " + socket + ": " + e);
            }
        }
    }

    private void acceptConnections() throws IOException {
        while (!mListener.isClosed()) {
            Socket client = mListener.accept();
            startDaemonThread(() -> connect(client));
        }
    }

    private void connect(Socket client) throws IOException {
        if (mRefusing) {
            client.close();
            return;
        }
        try {
            ProxiedConnection connection =
                    new ProxiedConnection(
                            client, new Socket(InetAddress.getLoopbackAddress(), mTargetPort));
            mConnections.add(connection);
            startDaemonThread(() -> forward(connection, true));
            forward(connection, false);
        } catch (ConnectException e) {
            // The server is not listening; closing the client connection reports that to the
            // client.
            client.close();
        }
    }

    private void forward(ProxiedConnection connection, boolean toServer) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = (toServer ? connection.mClient : connection.mServer).getInputStream();
        OutputStream out = (toServer ? connection.mServer : connection.mClient).getOutputStream();
        int length = in.read(buffer);
        while (length >= 0) {
            applyDelay();
            connection.mBlackholed |= toServer ? mDropToServer : mDropToClient;
            if (!connection.mBlackholed) {
                out.write(buffer, 0, length);
                mForwardedBytes.addAndGet(toServer ? length : 0);
            }
            if (mForwardedBytes.get() >= mCloseAfterBytes) {
                closeConnections();
            }
            length = in.read(buffer);
        }
        // A network device that has lost its connection state does not forward the close to the
        // other
        // end.
        if (!connection.mBlackholed) {
            connection.close();
            mConnections.remove(connection);
        }
    }

    private void applyDelay() {
        try {
            Thread.sleep(mDelayMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void startDaemonThread(IoTask body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (IOException e) {
                                // A connection or the listener was closed.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        closeConnections();
    }

    private interface IoTask {
        void run() throws IOException;
    }
}
