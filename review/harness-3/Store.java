// Stand-in of the platform's metadata store, in the form of tables.
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

final class Store {
    private static final int LATENCY_MS = 5;

    record Row(String table, String part, String key, String value, long ver) { }

    /** All rows with their last change; a removed row has no value. */
    private final Map<String, TreeMap<String, Row>> tables = new LinkedHashMap<>();
    private long version = 0;
    private final HttpServer server;

    /** Decides on a call before it is served: an answer in its place, or null. */
    volatile Function<Http.Request, Http.Answer> before = request -> null;

    Store(int port) throws Exception {
        server = Http.serve(port, this::handle);
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes a row as the operator or a minion would; null removes it. */
    synchronized void put(String table, String key, Object value) {
        version++;
        String text = value == null ? null : Base64.getEncoder().encodeToString(Json.write(value).getBytes());
        set(new Row(table, "", key, text, version));
        notifyAll();
    }

    private void set(Row row) {
        tables.computeIfAbsent(row.table(), t -> new TreeMap<>()).put(row.part() + "\0" + row.key(), row);
    }

    private Row find(String table, String part, String key) {
        Row row = tables.getOrDefault(table, new TreeMap<>()).get(part + "\0" + key);
        return row == null || row.value() == null ? null : row;
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        Http.Answer instead = before.apply(request);
        if (instead != null) return instead;
        Thread.sleep(LATENCY_MS);
        return switch (request.path()) {
            case "/rows-tx" -> transact(Json.object(request.body()));
            case "/rows-get" -> read(request.query());
            case "/rows-feed" -> feed(request.query());
            case "/rows-parts" -> parts(request.query());
            default -> new Http.Answer(404, "");
        };
    }

    @SuppressWarnings("unchecked")
    private List<Map<String, Object>> entries(Map<String, Object> body, String name) {
        Object list = body.get(name);
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    private static String text(Map<String, Object> row, String name) {
        Object value = row.get(name);
        return value == null ? "" : (String) value;
    }

    private synchronized Http.Answer transact(Map<String, Object> body) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> condition : entries(body, "precondition")) {
            Row row = find(text(condition, "table"), text(condition, "part"), text(condition, "key"));
            holds &= (row == null ? 0 : row.ver()) == Json.number(condition, "ver");
            if (row != null) current.add(show(row));
        }
        if (!holds) return answer(412, current, false);
        for (Map<String, Object> row : entries(body, "set_keys")) {
            if (text(row, "table").equals("op") || text(row, "table").equals("servers")) return new Http.Answer(403, "");
        }
        version++;
        for (Map<String, Object> row : entries(body, "set_keys")) {
            set(new Row(text(row, "table"), text(row, "part"), text(row, "key"), text(row, "value"), version));
        }
        for (Map<String, Object> row : entries(body, "remove")) {
            if (find(text(row, "table"), text(row, "part"), text(row, "key")) == null) continue;
            set(new Row(text(row, "table"), text(row, "part"), text(row, "key"), null, version));
        }
        notifyAll();
        return answer(200, List.of(), false);
    }

    private synchronized Http.Answer read(Map<String, String> query) {
        List<Object> rows = new ArrayList<>();
        boolean hasMore = false;
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        String part = query.getOrDefault("part", "");
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            if (!row.part().equals(part) || row.value() == null) continue;
            if (query.containsKey("from") && row.key().compareTo(query.get("from")) < 0) continue;
            if (query.containsKey("to") && row.key().compareTo(query.get("to")) >= 0) continue;
            if (rows.size() == limit) {
                hasMore = true;
                break;
            }
            rows.add(show(row));
        }
        return answer(200, rows, hasMore);
    }

    private synchronized Http.Answer parts(Map<String, String> query) {
        List<Object> parts = new ArrayList<>();
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            if (row.value() != null && !parts.contains(row.part())) parts.add(row.part());
        }
        return new Http.Answer(200, Json.write(Json.map("parts", parts, "has_more", false)));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = Record.nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            List<Row> changed = new ArrayList<>();
            for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
                if (row.ver() > after) changed.add(row);
            }
            long leftMs = until - Record.nowMs();
            if (!changed.isEmpty() || leftMs <= 0) {
                changed.sort((one, other) -> Long.compare(one.ver(), other.ver()));
                List<Object> rows = new ArrayList<>();
                for (Row row : changed) rows.add(show(row));
                return answer(200, rows, false);
            }
            wait(leftMs);
        }
    }

    private static Map<String, Object> show(Row row) {
        Map<String, Object> result = Json.map("table", row.table(), "part", row.part(), "key", row.key());
        if (row.value() == null) result.put("removed", true);
        else result.put("value", row.value());
        result.put("ver", row.ver());
        return result;
    }

    private Http.Answer answer(int status, List<Object> rows, boolean hasMore) {
        Map<String, Object> body = Json.map("rows", rows, "ver", version, "now_ms", Record.nowMs());
        if (hasMore) body.put("has_more", true);
        return new Http.Answer(status, Json.write(body));
    }
}
