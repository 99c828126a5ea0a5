import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over plain sockets, one thread a connection, so that a host can go dark. */
final class Http {
    private Http() {}

    record Request(
            String method, String path, Map<String, String> query, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    record Reply(int status, String body) {}

    interface Handler {
        Reply handle(Request request) throws Exception;
    }

    /** A listener. While it is dark, nothing is answered; what was open before stays silent. */
    static final class Server {
        private final ServerSocket mListener;
        private final Handler mHandler;
        private final Set<Connection> mConnections = ConcurrentHashMap.newKeySet();
        private volatile int mLife;
        private volatile boolean mDark;
        private volatile boolean mClosed;

        Server(String ip, int port, Handler handler) throws IOException {
            mHandler = handler;
            mListener = new ServerSocket();
            mListener.setReuseAddress(true);
            mListener.bind(new InetSocketAddress(ip, port), 512);
            Thread thread = new Thread(this::accept, "accept-" + ip + ":" + mListener.getLocalPort());
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return mListener.getInetAddress().getHostAddress() + ":" + mListener.getLocalPort();
        }

        /** The host loses power: it answers nothing any more. */
        void goDark() {
            mDark = true;
            mLife++;
        }

        /** The host is back. The connections of its former life stay silent for good. */
        void comeBack() {
            mLife++;
            mDark = false;
        }

        void close() {
            mClosed = true;
            try {
                mListener.close();
            } catch (IOException e) {
                // Closed all the same.
            }
            mConnections.forEach(Connection::reset);
        }

        private void accept() {
            while (!mClosed) {
                try {
                    Connection connection = new Connection(mListener.accept(), mLife);
                    mConnections.add(connection);
                    Thread thread = new Thread(connection, "connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    // The listener is closed.
                }
            }
        }

        private final class Connection implements Runnable {
            private final Socket mSocket;
            private final int mBornIn;

            Connection(Socket socket, int life) {
                mSocket = socket;
                mBornIn = life;
            }

            private boolean isGone() {
                return mDark || mBornIn != mLife;
            }

            void reset() {
                try {
                    mSocket.setSoLinger(true, 0);
                    mSocket.close();
                } catch (IOException e) {
                    // Closed all the same.
                }
            }

            @Override
            public void run() {
                try {
                    mSocket.setTcpNoDelay(true);
                    InputStream in = new BufferedInputStream(mSocket.getInputStream());
                    OutputStream out = mSocket.getOutputStream();
                    while (true) {
                        Request request = readRequest(in);
                        if (request == null) {
                            return;
                        }
                        if (isGone()) {
                            continue;
                        }
                        Reply reply;
                        try {
                            reply = mHandler.handle(request);
                        } catch (Exception e) {
                            e.printStackTrace();
                            reply = new Reply(500, "{}");
                        }
                        if (isGone()) {
                            continue;
                        }
                        if (reply == null) {
                            reset();
                            return;
                        }
                        byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
                        String head =
                                "HTTP/1.1 " + reply.status() + " x\r\nContent-Type: application/json\r\nContent-Length: "
                                        + body.length + "\r\n\r\n";
                        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
                        byte[] all = new byte[headBytes.length + body.length];
                        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
                        System.arraycopy(body, 0, all, headBytes.length, body.length);
                        out.write(all);
                        out.flush();
                    }
                } catch (IOException e) {
                    // The peer has closed the connection.
                } finally {
                    mConnections.remove(this);
                    try {
                        mSocket.close();
                    } catch (IOException e) {
                        // Closed all the same.
                    }
                }
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new IOException("connection ended within the headers");
            }
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).strip(), 16);
                all.write(in.readNBytes(size));
                readLine(in);
                if (size == 0) {
                    return all.toString(StandardCharsets.UTF_8);
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection ended within the body");
        }
        return new String(body, StandardCharsets.UTF_8);
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = readBody(in, headers);
        String path = words[1];
        Map<String, String> query = new HashMap<>();
        int mark = path.indexOf('?');
        if (mark >= 0) {
            for (String pair : path.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        URLDecoder.decode(equals < 0 ? pair : pair.substring(0, equals), StandardCharsets.UTF_8),
                        equals < 0 ? "" : URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            path = path.substring(0, mark);
        }
        return new Request(words[0], path, query, headers, body);
    }

    /** Makes a call on a connection of its own. Status 0: no complete answer; -1: not connected. */
    static Reply call(String address, String method, String path, String host, String body, int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        boolean connected = false;
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getByName(address.substring(0, colon)),
                            Integer.parseInt(address.substring(colon + 1))),
                    timeoutMillis);
            connected = true;
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host
                            + "\r\nContent-Type: application/json\r\nDeadline-Ms: " + timeoutMillis
                            + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) {
                return new Reply(0, "connection ended");
            }
            Map<String, String> headers = readHeaders(in);
            return new Reply(Integer.parseInt(status.split(" ")[1]), readBody(in, headers));
        } catch (IOException e) {
            return new Reply(connected ? 0 : -1, String.valueOf(e.getMessage()));
        }
    }
}
