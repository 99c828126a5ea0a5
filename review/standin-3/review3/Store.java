package review3;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: rows, transactions and the feed of changes. */
final class Store {
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final int BAD_REQUEST = 400;
    private static final int MAX_ROWS = 500;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final long MAX_PAGE_BYTES = 1_000_000;

    /** Duration of each answer, in milliseconds, as on the sheets of the sites. */
    private static final long ANSWER_MILLIS = 4;

    private final long mStartNanos = System.nanoTime();
    private final TreeMap<String, Row> mRows = new TreeMap<>();
    private final Map<String, TreeMap<Long, List<Row>>> mChanges = new TreeMap<>();
    private final HttpNode mNode = new HttpNode();
    private long mVersion;

    /** A row; its value is null once it is removed. */
    private record Row(String table, String part, String key, String value, long version) {
        ObjectNode toJson() {
            ObjectNode node = Json.object();
            node.put("Table", table).put("part", part).put("Key", key).put("Ver", version);
            return value == null ? node.put("Deleted", true) : node.put("Value", value);
        }
    }

    void start() throws IOException {
        mNode.handle("/hyssoprouter/rows-tx", exchange -> transact(HttpNode.json(exchange)));
        mNode.handle("/hyssoprouter/rows-get", this::read);
        mNode.handle("/hyssoprouter/rows-parts", this::parts);
        mNode.handle("/hyssoprouter/rows-feed", this::feed);
        mNode.start();
    }

    void stop() {
        mNode.stop();
    }

    String address() {
        return mNode.address();
    }

    private static String name(String table, String part, String key) {
        return table + '\0' + part + '\0' + key;
    }

    private static String name(JsonNode row) {
        return name(
                row.path("Table").asText(), row.path("part").asText(), row.path("Key").asText());
    }

    private Reply transact(JsonNode body) {
        Sleep.millis(ANSWER_MILLIS);
        synchronized (this) {
            int entries = 0;
            for (String field : List.of("Precondition", "Puts", "Remove")) {
                entries += body.path(field).size();
            }
            for (JsonNode put : body.path("Puts")) {
                if (put.path("Value").asText().length() > MAX_ROW_BYTES * 4 / 3 + 4) {
                    return new Reply(BAD_REQUEST, status());
                }
            }
            if (entries > MAX_ENTRIES) {
                return new Reply(BAD_REQUEST, status());
            }
            boolean valid = true;
            ArrayNode current = Json.array();
            for (JsonNode check : body.path("Precondition")) {
                Row row = mRows.get(name(check));
                valid &= check.path("Ver").asLong() == (row == null ? 0 : row.version());
                if (row != null) {
                    current.add(row.toJson());
                }
            }
            if (!valid) {
                ObjectNode conflict = status();
                conflict.set("rows", current);
                return new Reply(PRECONDITION_FAILED, conflict);
            }
            mVersion++;
            body.path("Puts").forEach(row -> write(row, row.path("Value").asText()));
            body.path("Remove").forEach(row -> write(row, null));
            notifyAll();
            return new Reply(OK, status());
        }
    }

    private void write(JsonNode row, String value) {
        write(
                row.path("Table").asText(),
                row.path("part").asText(),
                row.path("Key").asText(),
                value);
    }

    private void write(String table, String part, String key, String value) {
        Row written = new Row(table, part, key, value, mVersion);
        if (value == null) {
            mRows.remove(name(table, part, key));
        } else {
            mRows.put(name(table, part, key), written);
        }
        mChanges.computeIfAbsent(table, it -> new TreeMap<>())
                .computeIfAbsent(mVersion, it -> new ArrayList<>())
                .add(written);
    }

    /** Writes a row with an empty part, as the operator and the executors do. */
    synchronized void put(String table, String key, String text) {
        mVersion++;
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        write(table, "", key, Base64.getEncoder().encodeToString(bytes));
        notifyAll();
    }

    private Reply read(HttpExchange exchange) {
        Map<String, String> query = HttpNode.query(exchange);
        String table = query.get("Table");
        String part = query.getOrDefault("part", "");
        String from = query.getOrDefault("From", "");
        String to = query.getOrDefault("To", "");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("Limit", "500")));
        Sleep.millis(ANSWER_MILLIS);
        synchronized (this) {
            ArrayNode rows = Json.array();
            boolean hasMore = false;
            long bytes = 0;
            for (Row row : mRows.tailMap(name(table, part, from)).values()) {
                if (!row.table().equals(table) || !row.part().equals(part)) {
                    break;
                }
                if (!to.isEmpty() && row.key().compareTo(to) >= 0) {
                    break;
                }
                bytes += row.value().length();
                if (rows.size() >= limit || (bytes > MAX_PAGE_BYTES && rows.size() > 0)) {
                    hasMore = true;
                    break;
                }
                rows.add(row.toJson());
            }
            ObjectNode page = status().put("HasMore", hasMore);
            page.set("rows", rows);
            return new Reply(OK, page);
        }
    }

    private Reply parts(HttpExchange exchange) {
        String table = HttpNode.query(exchange).get("Table");
        Sleep.millis(ANSWER_MILLIS);
        synchronized (this) {
            ObjectNode page = status();
            ArrayNode parts = page.putArray("parts");
            mRows.values().stream()
                    .filter(row -> row.table().equals(table))
                    .map(Row::part)
                    .distinct()
                    .sorted(Comparator.naturalOrder())
                    .forEach(parts::add);
            return new Reply(OK, page);
        }
    }

    private Reply feed(HttpExchange exchange) throws InterruptedException {
        Map<String, String> query = HttpNode.query(exchange);
        String table = query.get("Table");
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        long waitMillis = Long.parseLong(query.getOrDefault("WaitMs", "0"));
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        Sleep.millis(ANSWER_MILLIS);
        synchronized (this) {
            while (true) {
                TreeMap<Long, List<Row>> changes = mChanges.get(table);
                boolean changed = changes != null && changes.higherKey(after) != null;
                long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
                if (changed || leftMillis <= 0) {
                    break;
                }
                wait(leftMillis);
            }
            return new Reply(OK, changesAfter(table, after));
        }
    }

    /** Returns the changes in order; each transaction as a whole. */
    private ObjectNode changesAfter(String table, long after) {
        ObjectNode page = status();
        ArrayNode rows = page.putArray("rows");
        TreeMap<Long, List<Row>> changes = mChanges.getOrDefault(table, new TreeMap<>());
        long bytes = 0;
        for (Map.Entry<Long, List<Row>> entry : changes.tailMap(after, false).entrySet()) {
            for (Row row : entry.getValue()) {
                bytes += row.value() == null ? 0 : row.value().length();
                rows.add(row.toJson());
            }
            if (rows.size() >= MAX_ROWS - MAX_ENTRIES || bytes > MAX_PAGE_BYTES / 2) {
                page.put("Ver", entry.getKey());
                page.put("HasMore", true);
                break;
            }
        }
        return page;
    }

    private ObjectNode status() {
        return Json.object()
                .put("Ver", mVersion)
                .put("NowMs", (System.nanoTime() - mStartNanos) / 1_000_000 + 1_000);
    }
}
