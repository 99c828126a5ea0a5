import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows, transactions under conditions, feed of changes. */
final class Store implements Http.Handler {
    private static final int MAX_PAGE_ROWS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final long ANSWER_MILLIS = 4;

    record Row(String table, String part, String key, String value, long ver) {
        Map<String, Object> toJson() {
            Map<String, Object> map = Json.of("Table", table, "part", part, "Key", key);
            if (value == null) {
                map.put("Deleted", true);
            } else {
                map.put("Value", value);
            }
            map.put("Ver", ver);
            return map;
        }
    }


    private final Map<String, TreeMap<String, Row>> mRows = new TreeMap<>();
    private final Map<String, TreeMap<Long, List<Row>>> mChanges = new TreeMap<>();
    private final long mStartNanos = System.nanoTime();
    private long mVer;

    /** Milliseconds for which the answer of each call is delayed. */
    volatile long mDelayMillis = ANSWER_MILLIS;

    private static String place(String table, String part) {
        return table + "\n" + part;
    }

    private long nowMillis() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void put(String table, String part, String key, String json) {
        mVer++;
        write(table, part, key, java.util.Base64.getEncoder().encodeToString(json.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        notifyAll();
    }

    synchronized void putRaw(String table, String part, String key, String value) {
        mVer++;
        write(table, part, key, value);
        notifyAll();
    }

    synchronized void remove(String table, String part, String key) {
        mVer++;
        write(table, part, key, null);
        notifyAll();
    }

    synchronized List<Row> rows(String table, String part) {
        return new ArrayList<>(mRows.getOrDefault(place(table, part), new TreeMap<>()).values());
    }

    synchronized String raw(String table, String part, String key) {
        return mRows.getOrDefault(place(table, part), new TreeMap<>()).get(key).value();
    }

    synchronized String json(String table, String part, String key) {
        Row row = mRows.getOrDefault(place(table, part), new TreeMap<>()).get(key);
        return row == null || row.value() == null
                ? ""
                : new String(java.util.Base64.getDecoder().decode(row.value()), java.nio.charset.StandardCharsets.UTF_8);
    }

    private void write(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, mVer);
        TreeMap<String, Row> rows = mRows.computeIfAbsent(place(table, part), k -> new TreeMap<>());
        if (value == null) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        mChanges.computeIfAbsent(table, k -> new TreeMap<>()).computeIfAbsent(mVer, k -> new ArrayList<>()).add(row);
    }

    @Override
    public Http.Reply handle(Http.Request request) throws Exception {
        Http.Reply reply =
                switch (request.path()) {
                    case "/hyssoprouter/rows-tx" -> transact(Json.object(request.body()), request.body().length());
                    case "/hyssoprouter/rows-get" -> read(request.query());
                    case "/hyssoprouter/rows-feed" -> feed(request.query());
                    case "/hyssoprouter/rows-parts" -> parts(request.query());
                    default -> new Http.Reply(404, "{}");
                };
        Thread.sleep(mDelayMillis);
        return reply;
    }

    private synchronized Http.Reply transact(Map<String, Object> body, int bytes) {
        List<Map<String, Object>> checks = Json.objects(body, "Precondition");
        List<Map<String, Object>> puts = Json.objects(body, "Puts");
        List<Map<String, Object>> removes = Json.objects(body, "Remove");
        if (checks.size() + puts.size() + removes.size() > MAX_ENTRIES || bytes > 1_000_000) {
            return new Http.Reply(400, "{\"Error\":\"too large\"}");
        }
        String part = null;
        for (List<Map<String, Object>> list : List.of(checks, puts, removes)) {
            for (Map<String, Object> row : list) {
                if (part != null && !part.equals(Json.text(row, "part"))) {
                    return new Http.Reply(400, "{\"Error\":\"several parts\"}");
                }
                part = Json.text(row, "part");
            }
        }
        for (Map<String, Object> put : puts) {
            if (Json.text(put, "Value").length() / 4 * 3 > MAX_ROW_BYTES) {
                return new Http.Reply(400, "{\"Error\":\"value too large\"}");
            }
            if (List.of("op", "servers").contains(Json.text(put, "Table"))) {
                return new Http.Reply(403, "{}");
            }
        }
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> check : checks) {
            Row row =
                    mRows.getOrDefault(place(Json.text(check, "Table"), part), new TreeMap<>())
                            .get(Json.text(check, "Key"));
            holds &= (row == null ? 0 : row.ver()) == Json.number(check, "Ver", 0);
            if (row != null) {
                current.add(row.toJson());
            }
        }
        if (!holds) {
            return new Http.Reply(412, Json.write(Json.of("rows", current, "Ver", mVer, "NowMs", nowMillis())));
        }
        mVer++;
        for (Map<String, Object> put : puts) {
            write(Json.text(put, "Table"), part, Json.text(put, "Key"), Json.text(put, "Value"));
        }
        for (Map<String, Object> remove : removes) {
            write(Json.text(remove, "Table"), part, Json.text(remove, "Key"), null);
        }
        notifyAll();
        return new Http.Reply(200, Json.write(Json.of("Ver", mVer, "NowMs", nowMillis())));
    }

    private synchronized Http.Reply read(Map<String, String> query) {
        TreeMap<String, Row> rows =
                mRows.getOrDefault(place(query.get("Table"), query.getOrDefault("part", "")), new TreeMap<>());
        String from = query.getOrDefault("From", "");
        String to = query.getOrDefault("To", "");
        int limit = Math.min(MAX_PAGE_ROWS, Integer.parseInt(query.getOrDefault("Limit", "500")));
        List<Object> page = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Row row : rows.tailMap(from, true).values()) {
            if (!to.isEmpty() && row.key().compareTo(to) >= 0) {
                break;
            }
            if (page.size() >= limit || bytes > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += row.value().length() + 100;
            page.add(row.toJson());
        }
        return new Http.Reply(
                200, Json.write(Json.of("rows", page, "HasMore", more, "Ver", mVer, "NowMs", nowMillis())));
    }

    private synchronized Http.Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("After"));
        long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
        while (true) {
            TreeMap<Long, List<Row>> changes = mChanges.getOrDefault(query.get("Table"), new TreeMap<>());
            List<Object> rows = new ArrayList<>();
            long last = mVer;
            int bytes = 0;
            for (Map.Entry<Long, List<Row>> entry : changes.tailMap(after, false).entrySet()) {
                for (Row row : entry.getValue()) {
                    rows.add(row.toJson());
                    bytes += (row.value() == null ? 0 : row.value().length()) + 100;
                }
                if (bytes > MAX_PAGE_BYTES) {
                    last = entry.getKey();
                    break;
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || leftMillis <= 0) {
                return new Http.Reply(200, Json.write(Json.of("rows", rows, "Ver", last, "NowMs", nowMillis())));
            }
            wait(leftMillis);
        }
    }

    private synchronized Http.Reply parts(Map<String, String> query) {
        List<Object> parts = new ArrayList<>();
        for (String place : mRows.keySet()) {
            if (place.startsWith(query.get("Table") + "\n")) {
                parts.add(place.substring(place.indexOf('\n') + 1));
            }
        }
        return new Http.Reply(200, Json.write(Json.of("parts", parts, "HasMore", false)));
    }
}
