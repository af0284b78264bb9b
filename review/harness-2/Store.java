import com.sun.net.httpserver.HttpExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store in the form `table`, as PROTOCOL.md describes it; it keeps its whole history. */
final class Store {
    private static final int ROW_BYTES = 65_536;
    private static final int TRANSACTION_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROWS = 500;
    private static final long TRANSACTION_MS = 5;
    private static final long READ_MS = 4;

    private record Id(String table, String part, String key) {}

    private record Row(Id id, String value, long version) {}

    private static final Comparator<Id> ORDER =
        Comparator.comparing(Id::table).thenComparing(Id::part).thenComparing(Id::key);

    private final TreeMap<Id, Row> rows = new TreeMap<>(ORDER);
    private final List<Row> history = new ArrayList<>();
    private final Map<String, Object> partLocks = new java.util.concurrent.ConcurrentHashMap<>();
    private final Record record;
    private final long startedAtNs = System.nanoTime();
    private long version;

    /** The last refused write, so that its repetitions are recorded once. */
    private volatile String lastRefusal = "";

    /** The process that last wrote under a condition. */
    private volatile String lastConditionalWriter = "";

    Store(Record record) {
        this.record = record;
    }

    /** Opens an address of the store for one process, so that its calls can be told from those of others. */
    String addressFor(String process) throws Exception {
        int port = Http.freePort();
        Http.start(port, (exchange, body) -> handle(process, exchange, body));
        return "127.0.0.1:" + port;
    }

    String lastConditionalWriter() {
        return lastConditionalWriter;
    }

    private long nowMs() {
        return (System.nanoTime() - startedAtNs) / 1_000_000;
    }

    private Http.Answer handle(String process, HttpExchange exchange, String body) throws Exception {
        switch (exchange.getRequestURI().getPath()) {
            case "/rows-tx": return transact(process, Json.object(body));
            case "/rows-get": return read(Http.query(exchange));
            case "/rows-parts": return parts(Http.query(exchange));
            case "/rows-feed": return feed(Http.query(exchange));
            default: return new Http.Answer(404, "");
        }
    }

    /** Writes a row as the operator or a minion does; null removes it. */
    synchronized void put(String table, String key, String value) {
        version++;
        apply(new Id(table, "", key), value == null ? null
            : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void apply(Id id, String value) {
        Row row = new Row(id, value, version);
        if (value == null) {
            if (rows.remove(id) != null) history.add(row);
        } else {
            rows.put(id, row);
            history.add(row);
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transact(String process, Map<String, Object> call) throws InterruptedException {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) call.getOrDefault("precondition", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) call.getOrDefault("set_keys", List.of());
        List<Map<String, Object>> removals = (List<Map<String, Object>>) call.getOrDefault("remove", List.of());
        String refusal = refusalOf(conditions, writes, removals);
        if (refusal != null) {
            if (!refusal.equals(lastRefusal)) record.add("store: 400 " + refusal);
            lastRefusal = refusal;
            return new Http.Answer(400, "");
        }
        String part = writes.isEmpty() ? removals.isEmpty() ? "" : Json.text(removals.get(0), "part")
            : Json.text(writes.get(0), "part");
        synchronized (partLocks.computeIfAbsent(part, ignored -> new Object())) {
            Thread.sleep(TRANSACTION_MS);
            synchronized (this) {
                List<Row> current = new ArrayList<>();
                boolean holds = true;
                for (Map<String, Object> condition : conditions) {
                    Row row = rows.get(idOf(condition));
                    if (row != null) current.add(row);
                    holds &= (row == null ? 0 : row.version()) == Json.number(condition, "ver", 0);
                }
                if (!holds) return new Http.Answer(412, Json.write(answerOf(current)));
                if (!conditions.isEmpty()) lastConditionalWriter = process;
                version++;
                for (Map<String, Object> write : writes) apply(idOf(write), Json.text(write, "value"));
                for (Map<String, Object> removal : removals) apply(idOf(removal), null);
                notifyAll();
                Map<String, Object> answer = new LinkedHashMap<>();
                answer.put("ver", version);
                answer.put("now_ms", nowMs());
                return new Http.Answer(200, Json.write(answer));
            }
        }
    }

    private static String refusalOf(
        List<Map<String, Object>> conditions, List<Map<String, Object>> writes, List<Map<String, Object>> removals
    ) {
        int entries = conditions.size() + writes.size() + removals.size();
        if (entries > MAX_ENTRIES) return entries + " entries";
        int total = 0;
        for (Map<String, Object> write : writes) {
            byte[] value = Base64.getDecoder().decode(Json.text(write, "value"));
            total += Json.text(write, "value").length();
            if (value.length > ROW_BYTES) {
                return "row " + Json.text(write, "table") + "/" + Json.text(write, "key") + " of " + value.length
                    + " bytes, row_bytes is " + ROW_BYTES;
            }
        }
        return total > TRANSACTION_BYTES ? total + " bytes" : null;
    }

    private static Id idOf(Map<String, Object> row) {
        return new Id(Json.text(row, "table"), Json.text(row, "part"), Json.text(row, "key"));
    }

    private Map<String, Object> answerOf(List<Row> found) {
        List<Object> list = new ArrayList<>();
        for (Row row : found) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("table", row.id().table());
            entry.put("part", row.id().part());
            entry.put("key", row.id().key());
            if (row.value() == null) entry.put("removed", true);
            else entry.put("value", row.value());
            entry.put("ver", row.version());
            list.add(entry);
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("rows", list);
        answer.put("ver", version);
        answer.put("now_ms", nowMs());
        return answer;
    }

    private Http.Answer read(Map<String, String> query) throws InterruptedException {
        Thread.sleep(READ_MS);
        synchronized (this) {
            String table = query.get("table");
            String part = query.getOrDefault("part", "");
            String to = query.get("to");
            int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
            List<Row> found = new ArrayList<>();
            boolean hasMore = false;
            int bytes = 0;
            for (Row row : rows.tailMap(new Id(table, part, query.getOrDefault("from", ""))).values()) {
                if (!row.id().table().equals(table) || !row.id().part().equals(part)) break;
                if (to != null && row.id().key().compareTo(to) >= 0) break;
                bytes += row.value().length();
                if (found.size() == limit || !found.isEmpty() && bytes > TRANSACTION_BYTES) {
                    hasMore = true;
                    break;
                }
                found.add(row);
            }
            Map<String, Object> answer = answerOf(found);
            answer.put("has_more", hasMore);
            return new Http.Answer(200, Json.write(answer));
        }
    }

    private synchronized Http.Answer parts(Map<String, String> query) {
        List<Object> found = new ArrayList<>();
        for (Id id : rows.keySet()) {
            if (id.table().equals(query.get("table")) && !found.contains(id.part())) found.add(id.part());
        }
        return new Http.Answer(200, Json.write(Map.of("parts", found, "ver", version, "now_ms", nowMs())));
    }

    private Http.Answer feed(Map<String, String> query) throws InterruptedException {
        Thread.sleep(READ_MS);
        String table = query.get("table");
        long after = Long.parseLong(query.get("after"));
        long untilMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        synchronized (this) {
            while (true) {
                List<Row> changed = changesAfter(table, after);
                long leftMs = untilMs - nowMs();
                if (!changed.isEmpty() || leftMs <= 0) return feedAnswer(changed);
                wait(leftMs);
            }
        }
    }

    /** A page holds whole transactions; the caller continues from the version of the last one. */
    private Http.Answer feedAnswer(List<Row> changed) {
        if (changed.size() <= MAX_ROWS) return new Http.Answer(200, Json.write(answerOf(changed)));
        int end = MAX_ROWS;
        while (end > 1 && changed.get(end - 1).version() == changed.get(end).version()) end--;
        Map<String, Object> answer = answerOf(changed.subList(0, end));
        answer.put("ver", changed.get(end - 1).version());
        return new Http.Answer(200, Json.write(answer));
    }

    private List<Row> changesAfter(String table, long after) {
        int first = history.size();
        while (first > 0 && history.get(first - 1).version() > after) first--;
        List<Row> changed = new ArrayList<>();
        for (Row row : history.subList(first, history.size())) {
            if (row.id().table().equals(table)) changed.add(row);
        }
        return changed;
    }
}
