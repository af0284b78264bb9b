import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, with the limits of the pages; it answers each transaction after 5 ms. */
final class Store extends HttpStandIn {
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_CALL_BYTES = 1_000_000;
    private static final int MAX_ROWS_IN_PAGE = 500;
    private static final long TRANSACTION_MS = 5;

    record Key(String table, String part, String key) { }

    record Row(Key key, String value, long ver) {
        Map<String, Object> toJson() {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("table", key.table());
            json.put("part", key.part());
            json.put("key", key.key());
            if (value == null) json.put("removed", true);
            else json.put("value", value);
            json.put("ver", ver);
            return json;
        }
    }

    private final Map<String, TreeMap<String, Row>> parts = new HashMap<>();
    private final Map<String, ArrayList<Row>> changes = new HashMap<>();
    private final Record record;
    private long version;
    private long refusedForSize;
    private long applied;
    private volatile boolean isDown;

    Store(Record record) {
        this.record = record;
    }

    private TreeMap<String, Row> part(String table, String part) {
        return parts.computeIfAbsent(table + "\n" + part, key -> new TreeMap<>());
    }

    /** Writes a row of the operator or of a minion; a null value removes it. */
    synchronized void put(String table, String key, String value) {
        version++;
        store(new Row(new Key(table, "", key),
            value == null ? null : Base64.getEncoder().encodeToString(value.getBytes()), version));
        notifyAll();
    }

    private void store(Row row) {
        TreeMap<String, Row> rows = part(row.key().table(), row.key().part());
        if (row.value() == null) rows.remove(row.key().key());
        else rows.put(row.key().key(), row);
        changes.computeIfAbsent(row.key().table(), key -> new ArrayList<>()).add(row);
    }

    /** While the store is down, it does nothing and answers 503. */
    synchronized void setDown(boolean down) {
        isDown = down;
        record.line(down ? "the store is down" : "the store is back");
        notifyAll();
    }

    /** The text of all rows of a table, whatever their encoding. */
    synchronized String textOf(String table, String part) {
        StringBuilder text = new StringBuilder();
        for (Row row : part(table, part).values()) {
            text.append(new String(Base64.getDecoder().decode(row.value()), StandardCharsets.ISO_8859_1)).append('\n');
        }
        return text.toString();
    }

    synchronized long refusedForSize() {
        return refusedForSize;
    }

    synchronized long applied() {
        return applied;
    }

    @Override
    Reply handle(String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body)
        throws Exception {
        if (isDown) return new Reply(503, "");
        switch (path) {
            case "/rows-tx":
                Thread.sleep(TRANSACTION_MS);
                return transact(body);
            case "/rows-get": return read(query);
            case "/rows-feed": return feed(query);
            default: return new Reply(404, "");
        }
    }

    private static Key keyOf(Object row) {
        Map<?, ?> fields = (Map<?, ?>) row;
        Object part = fields.get("part");
        return new Key((String) fields.get("table"), part == null ? "" : (String) part, (String) fields.get("key"));
    }

    private static List<?> list(Map<String, Object> call, String name) {
        Object value = call.get(name);
        return value == null ? List.of() : (List<?>) value;
    }

    private synchronized Reply transact(byte[] body) {
        Map<String, Object> call = Json.parseObject(body);
        List<?> conditions = list(call, "precondition");
        List<?> writes = list(call, "set_keys");
        List<?> removals = list(call, "remove");
        if (conditions.size() + writes.size() + removals.size() > MAX_ENTRIES || body.length > MAX_CALL_BYTES) {
            refusedForSize++;
            record.line("store refuses a call of " + body.length + " bytes");
            return new Reply(400, "{\"error\":\"too large\"}");
        }
        for (Object write : writes) {
            String value = (String) ((Map<?, ?>) write).get("value");
            int bytes = Base64.getDecoder().decode(value).length;
            if (bytes > MAX_ROW_BYTES) {
                refusedForSize++;
                record.lineSeldom("row", "store refuses a row of " + bytes + " bytes: " + keyOf(write));
                return new Reply(400, "{\"error\":\"row too large\"}");
            }
        }
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object condition : conditions) {
            Key key = keyOf(condition);
            Row row = part(key.table(), key.part()).get(key.key());
            long expected = (Long) ((Map<?, ?>) condition).get("ver");
            if ((row == null ? 0 : row.ver()) != expected) holds = false;
            if (row != null) current.add(row.toJson());
        }
        if (!holds) return new Reply(412, answer(current, false));
        version++;
        applied++;
        for (Object write : writes) store(new Row(keyOf(write), (String) ((Map<?, ?>) write).get("value"), version));
        for (Object removal : removals) {
            Key key = keyOf(removal);
            if (part(key.table(), key.part()).containsKey(key.key())) store(new Row(key, null, version));
        }
        notifyAll();
        return new Reply(200, "{\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}");
    }

    private String answer(List<Object> rows, boolean hasMore) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("rows", rows);
        json.put("has_more", hasMore);
        json.put("ver", version);
        json.put("now_ms", System.nanoTime() / 1_000_000);
        return Json.write(json);
    }

    private synchronized Reply read(Map<String, String> query) {
        TreeMap<String, Row> rows = part(query.get("table"), query.getOrDefault("part", ""));
        List<Object> page = new ArrayList<>();
        String from = query.getOrDefault("from", "");
        int limit = Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS_IN_PAGE));
        long bytes = 0;
        for (Row row : rows.tailMap(from, true).values()) {
            if (query.containsKey("to") && row.key().key().compareTo(query.get("to")) >= 0) break;
            bytes += row.value().length();
            if (page.size() >= Math.min(limit, MAX_ROWS_IN_PAGE) || bytes > MAX_CALL_BYTES) {
                return new Reply(200, answer(page, true));
            }
            page.add(row.toJson());
        }
        return new Reply(200, answer(page, false));
    }

    private synchronized Reply feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Row> all = changes.getOrDefault(query.get("table"), new ArrayList<>());
            int first = all.size();
            while (first > 0 && all.get(first - 1).ver() > after) first--;
            List<Object> rows = new ArrayList<>();
            for (Row row : all.subList(first, all.size())) rows.add(row.toJson());
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (!rows.isEmpty() || leftMs <= 0) return new Reply(200, answer(rows, false));
            wait(leftMs);
            if (isDown) return new Reply(503, "");
        }
    }
}
