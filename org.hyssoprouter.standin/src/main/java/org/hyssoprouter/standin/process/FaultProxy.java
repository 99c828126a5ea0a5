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
 * Passes bytes between clients and a server on loopback, and delays, loses or cuts them on order.
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
    private volatile long mDelayMillis;
    private volatile long mCloseAfterBytes = Long.MAX_VALUE;

    /** Opens a proxy to a port on loopback. */
    public FaultProxy(int targetPort) throws IOException {
        mTargetPort = targetPort;
        mListener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptConnections);
    }

    /** Returns {@code ip:port} that clients connect to. */
    public String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Drops all bytes from now on, in both directions; connections stay open. */
    public void dropAll() {
        mDropToServer = true;
        mDropToClient = true;
    }

    /** Drops what the server sends; what clients send arrives. */
    public void dropToClients() {
        mDropToClient = true;
    }

    /** Drops what clients send; what the server sends arrives. */
    public void dropToServer() {
        mDropToServer = true;
    }

    /** Loses track of the open connections, which stay open; new ones work. */
    public void blackholeOpenConnections() {
        mConnections.forEach(link -> link.mBlackholed = true);
    }

    /** Delays all bytes; 0 for not at all. */
    public void setDelay(long millis) {
        mDelayMillis = millis;
    }

    /** Passes bytes of new connections again, without delay. */
    public void clearFaults() {
        mDropToServer = false;
        mDropToClient = false;
        mDelayMillis = 0;
    }

    /** Closes the connection once so many bytes have gone from client to server. */
    public void closeAfterBytes(long bytes) {
        mCloseAfterBytes = bytes;
    }

    /** Closes all open connections. */
    public void closeConnections() {
        mConnections.forEach(ProxiedConnection::close);
    }

    /** A connection of a client, and the one to the server that belongs to it. */
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
                System.err.println("proxy: cannot close " + socket + ": " + e);
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
        try {
            ProxiedConnection link =
                    new ProxiedConnection(
                            client, new Socket(InetAddress.getLoopbackAddress(), mTargetPort));
            mConnections.add(link);
            startDaemonThread(() -> forward(link, true));
            forward(link, false);
        } catch (ConnectException e) {
            // The server does not listen; its client sees the same.
            client.close();
        }
    }

    private void forward(ProxiedConnection link, boolean toServer) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = (toServer ? link.mClient : link.mServer).getInputStream();
        OutputStream out = (toServer ? link.mServer : link.mClient).getOutputStream();
        int length = in.read(buffer);
        while (length >= 0) {
            applyDelay();
            link.mBlackholed |= toServer ? mDropToServer : mDropToClient;
            if (!link.mBlackholed) {
                out.write(buffer, 0, length);
                mForwardedBytes.addAndGet(toServer ? length : 0);
            }
            if (mForwardedBytes.get() >= mCloseAfterBytes) {
                closeConnections();
            }
            length = in.read(buffer);
        }
        // A device that has lost track of a connection does not tell one end of the other's close.
        if (!link.mBlackholed) {
            link.close();
            mConnections.remove(link);
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
                                // A connection was closed, by an end or on order.
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
