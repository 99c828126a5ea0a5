import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Helpers of the stand-ins' HTTP servers. */
final class Http {
    interface Handler {
        void handle(HttpExchange exchange) throws Exception;
    }

    private Http() {}

    static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    static void handle(HttpExchange exchange, Handler handler) {
        try {
            handler.handle(exchange);
        } catch (IOException e) {
            // The caller has closed the connection.
        } catch (Exception e) {
            e.printStackTrace();
        } finally {
            exchange.close();
        }
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String part : text.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        URLDecoder.decode(part.substring(0, equals), StandardCharsets.UTF_8),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    static void send(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = Store.JSON.writeValueAsBytes(body);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
    }
}
