package org.hyssoprouter.daemon.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Passes bytes between a client and a server, until it is told to fall silent or to cut. */
final class Relay implements AutoCloseable {
    private final ServerSocket mListener;
    private final int mTargetPort;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private volatile boolean mSilent;
    private final AtomicLong mForwardedBytes = new AtomicLong();
    private volatile long mCutAfterBytes = Long.MAX_VALUE;

    Relay(int targetPort) throws IOException {
        mTargetPort = targetPort;
        mListener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Drops all bytes from now on, in both directions; connections stay open. */
    void fallSilent() {
        mSilent = true;
    }

    /** Passes bytes of new connections again. */
    void recover() {
        mSilent = false;
    }

    /** Closes the connection once so many bytes have gone from client to server. */
    void cutAfter(long bytes) {
        mCutAfterBytes = bytes;
    }

    void cut() {
        mSockets.forEach(Relay::closeQuietly);
    }

    private void accept() throws IOException {
        while (!mListener.isClosed()) {
            Socket client = mListener.accept();
            Socket server = new Socket(InetAddress.getLoopbackAddress(), mTargetPort);
            mSockets.add(client);
            mSockets.add(server);
            daemon(() -> pass(client, server, true));
            daemon(() -> pass(server, client, false));
        }
    }

    private void pass(Socket from, Socket to, boolean counted) throws IOException {
        byte[] buffer = new byte[4096];
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        boolean lost = false;
        int length = in.read(buffer);
        while (length >= 0) {
            lost |= mSilent;
            if (!lost) {
                out.write(buffer, 0, length);
                mForwardedBytes.addAndGet(counted ? length : 0);
            }
            if (mForwardedBytes.get() >= mCutAfterBytes) {
                cut();
            }
            length = in.read(buffer);
        }
        // A device that has lost track of a connection does not tell one end of the other's close.
        if (!mSilent) {
            to.close();
        }
    }

    private static void daemon(Body body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (IOException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        mListener.close();
        cut();
    }

    private interface Body {
        void run() throws IOException;
    }
}
