package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server on a free loopback port, which can be ended and started again like a process. */
final class HttpNode {
    /** Address of this run only: no other process takes a port between its choice and its use. */
    static final String LOOPBACK = loopbackOf(ProcessHandle.current().pid());
    private static final int BIND_ATTEMPTS = 50;
    private static final Set<Integer> PORTS = new HashSet<>();
    private static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task, "stand-in");
                        thread.setDaemon(true);
                        return thread;
                    });

    private final int mPort = freePort();
    private final Map<String, Handler> mHandlers = new LinkedHashMap<>();
    private HttpServer mServer;

    /** Handles a call; null for no answer, which closes the connection. */
    interface Handler {
        Reply handle(HttpExchange exchange) throws IOException, InterruptedException;
    }

    private static String loopbackOf(long pid) {
        return "127." + (1 + pid % 250) + "." + (1 + pid / 250 % 250) + ".1";
    }

    /** Returns a free port that was not returned before. */
    static synchronized int freePort() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
                if (PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new IllegalStateException("no free port", e);
            }
        }
    }

    String address() {
        return LOOPBACK + ":" + mPort;
    }

    void handle(String path, Handler handler) {
        mHandlers.put(path, handler);
    }

    synchronized void start() throws IOException {
        for (int i = 0; mServer == null; i++) {
            try {
                mServer = HttpServer.create(new InetSocketAddress(LOOPBACK, mPort), 0);
            } catch (BindException e) {
                if (i == BIND_ATTEMPTS) {
                    throw e;
                }
                Sleep.millis(20);
            }
        }
        mServer.setExecutor(THREADS);
        mHandlers.forEach(
                (path, handler) ->
                        mServer.createContext(path, exchange -> answer(exchange, handler)));
        mServer.start();
    }

    /** Ends the server with all of its connections. */
    synchronized void stop() {
        if (mServer != null) {
            mServer.stop(0);
            mServer = null;
        }
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try {
            Reply reply = handler.handle(exchange);
            if (reply != null) {
                byte[] body = Json.encode(reply.body());
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(reply.status(), body.length);
                try (OutputStream out = exchange.getResponseBody()) {
                    out.write(body);
                }
            }
        } catch (IOException e) {
            // The caller has gone, or the server has ended.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    static JsonNode json(HttpExchange exchange) throws IOException {
        return Json.parse(exchange.getRequestBody().readAllBytes());
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
