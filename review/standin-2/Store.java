import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). */
final class Store {
    static final ObjectMapper JSON = new ObjectMapper();

    /** {@code MaxRowBytes} of the settings in DEPLOY.md. */
    static final int MAX_ROW_BYTES = 65_536;

    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int MAX_PAGE_ROWS = 500;
    private static final long CALL_MILLIS = 4;

    private final HttpServer mServer;
    private final Record mRecord;
    private final Map<String, TreeMap<String, Row>> mParts = new HashMap<>();
    private final Map<String, TreeMap<Long, List<Row>>> mChanges = new HashMap<>();
    private long mVersion;
    private long mTooLarge;

    /** Row; its value is null after its removal. */
    record Row(String table, String part, String key, String value, long version) {
        ObjectNode toJson() {
            ObjectNode node = JSON.createObjectNode();
            node.put("Table", table).put("part", part).put("Key", key).put("Ver", version);
            return value == null ? node.put("Deleted", true) : node.put("Value", value);
        }
    }

    Store(String ip, Record record) throws Exception {
        mRecord = record;
        mServer = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
        mServer.setExecutor(Executors.newCachedThreadPool(Http::daemonThread));
        mServer.createContext("/", exchange -> Http.handle(exchange, this::serve));
        mServer.start();
    }

    String address() {
        return mServer.getAddress().getAddress().getHostAddress() + ":" + mServer.getAddress().getPort();
    }

    private void serve(HttpExchange exchange) throws Exception {
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        Thread.sleep(CALL_MILLIS);
        Map<String, String> query = Http.query(exchange);
        if (path.endsWith("/rows-tx")) {
            transact(exchange, body);
        } else if (path.endsWith("/rows-get")) {
            Http.send(exchange, 200, read(query));
        } else if (path.endsWith("/rows-feed")) {
            Http.send(exchange, 200, feed(query));
        } else {
            Http.send(exchange, 404, JSON.createObjectNode());
        }
    }

    private void transact(HttpExchange exchange, byte[] bytes) throws Exception {
        JsonNode body = JSON.readTree(bytes);
        int entries = body.path("Precondition").size() + body.path("Puts").size() + body.path("Remove").size();
        for (JsonNode put : body.path("Puts")) {
            int size = Base64.getDecoder().decode(put.path("Value").asText()).length;
            if (size > MAX_ROW_BYTES) {
                logTooLarge(put, size);
                Http.send(exchange, 400, JSON.createObjectNode().put("Error", "a row is larger than MaxRowBytes"));
                return;
            }
        }
        if (entries > MAX_ENTRIES || bytes.length > MAX_CALL_BYTES) {
            Http.send(exchange, 400, JSON.createObjectNode().put("Error", "the call is too large"));
            return;
        }
        int status;
        ObjectNode answer;
        synchronized (this) {
            ArrayNode current = JSON.createArrayNode();
            boolean holds = true;
            for (JsonNode check : body.path("Precondition")) {
                Row row = part(check).get(check.path("Key").asText());
                boolean present = row != null && row.value() != null;
                holds &= check.path("Ver").asLong() == (present ? row.version() : 0);
                if (present) {
                    current.add(row.toJson());
                }
            }
            if (holds) {
                mVersion++;
                body.path("Puts").forEach(it -> write(it, it.path("Value").asText()));
                body.path("Remove").forEach(it -> write(it, null));
                notifyAll();
            }
            status = holds ? 200 : 412;
            answer = newBody();
            if (!holds) {
                answer.set("rows", current);
            }
        }
        Http.send(exchange, status, answer);
    }

    private synchronized void logTooLarge(JsonNode put, int size) {
        if (mTooLarge++ % 50 == 0) {
            mRecord.add("store refuses a call: row " + put.path("Table").asText() + "/" + put.path("Key").asText()
                    + " of " + size + " bytes (refusal number " + mTooLarge + ")");
        }
    }

    synchronized long tooLargeCount() {
        return mTooLarge;
    }

    private TreeMap<String, Row> part(JsonNode entry) {
        return part(entry.path("Table").asText(), entry.path("part").asText());
    }

    private TreeMap<String, Row> part(String table, String part) {
        return mParts.computeIfAbsent(table + '\0' + part, key -> new TreeMap<>());
    }

    private void write(JsonNode entry, String value) {
        write(entry.path("Table").asText(), entry.path("part").asText(), entry.path("Key").asText(), value);
    }

    private void write(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, mVersion);
        part(table, part).put(key, row);
        mChanges.computeIfAbsent(table, it -> new TreeMap<>())
                .computeIfAbsent(mVersion, it -> new ArrayList<>()).add(row);
    }

    /** Writes a row as the operator or an executor does; null removes it. */
    synchronized void put(String table, String key, byte[] value) {
        put(table, "", key, value == null ? null : Base64.getEncoder().encodeToString(value));
    }

    synchronized void put(String table, String part, String key, String base64) {
        mVersion++;
        write(table, part, key, base64);
        notifyAll();
    }

    /** Adds copies of a row under other keys, as of one moment. */
    synchronized void copy(Row row, List<String> keys) {
        mVersion++;
        keys.forEach(key -> write(row.table(), row.part(), key, row.value()));
        notifyAll();
    }

    synchronized List<Row> rows(String table) {
        List<Row> rows = new ArrayList<>();
        mParts.forEach((name, part) -> {
            if (name.startsWith(table + '\0')) {
                part.values().stream().filter(it -> it.value() != null).forEach(rows::add);
            }
        });
        return rows;
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        int limit = Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("Limit", "500")));
        NavigableMap<String, Row> range =
                part(query.getOrDefault("Table", ""), query.getOrDefault("part", ""))
                        .tailMap(query.getOrDefault("From", ""), true);
        String to = query.getOrDefault("To", "");
        ArrayNode rows = JSON.createArrayNode();
        boolean more = false;
        int bytes = 0;
        for (Row row : range.values()) {
            if (!to.isEmpty() && row.key().compareTo(to) >= 0) {
                break;
            }
            if (row.value() == null) {
                continue;
            }
            if (rows.size() >= limit || bytes > MAX_CALL_BYTES - 100_000) {
                more = true;
                break;
            }
            bytes += row.value().length() + 100;
            rows.add(row.toJson());
        }
        ObjectNode body = newBody().put("HasMore", more);
        body.set("rows", rows);
        return body;
    }

    private synchronized ObjectNode feed(Map<String, String> query) throws InterruptedException {
        String table = query.getOrDefault("Table", "");
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        TreeMap<Long, List<Row>> changes = mChanges.computeIfAbsent(table, it -> new TreeMap<>());
        while (changes.higherKey(after) == null) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        ArrayNode rows = JSON.createArrayNode();
        long version = mVersion;
        int bytes = 0;
        for (Map.Entry<Long, List<Row>> change : changes.tailMap(after, false).entrySet()) {
            if (rows.size() >= MAX_PAGE_ROWS || bytes > MAX_CALL_BYTES - 200_000) {
                version = changes.lowerKey(change.getKey());
                break;
            }
            for (Row row : change.getValue()) {
                bytes += row.value() == null ? 100 : row.value().length() + 100;
                rows.add(row.toJson());
            }
        }
        ObjectNode body = newBody().put("Ver", version);
        body.set("rows", rows);
        return body;
    }

    private ObjectNode newBody() {
        return JSON.createObjectNode().put("Ver", mVersion).put("NowMs", System.nanoTime() / 1_000_000);
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
