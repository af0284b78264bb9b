import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A minion: runs subtasks under a lease, as the pages describe.
 *
 * The spec of a submission tells how long its subtasks work: "work=MS", and "fail=MS" if each run fails by its own fault
 * after that time. "work=0" stands for subtasks that last.
 */
final class Minion extends HttpStandIn {
    private static final long HEARTBEAT_MS = 1_500;
    private static final int SILENT_HEARTBEATS = 3;
    private static final long TICK_MS = 10;
    private static final int MAX_ENDS = 500;
    private static final int PERCENT = 100;

    /** One run of a subtask. */
    private final class Run {
        final String task;
        final long number;
        final long startedAtMs = Record.nowMs();
        final long workMs;
        final long failAfterMs;

        Run(String task, long number, String spec) {
            this.task = task;
            this.number = number;
            workMs = figure(spec, "work=");
            failAfterMs = figure(spec, "fail=");
        }

        int percent() {
            if (workMs == 0) return PERCENT;
            return (int) Math.min(PERCENT, PERCENT * (Record.nowMs() - startedAtMs) / workMs);
        }
    }

    /** An end that the minion lists until it is acknowledged. */
    record End(long number, String task, long run, String how, long listedAtMs) { }

    private final Store store;
    private final Record record;
    private final String service;
    private final String rack;
    private final long cpu;
    private final long maxHoldMs;
    private final boolean logsRuns;

    private String id;
    private long bornMs;
    private long bootedAtMs;
    private long fence;
    private long leaseUntilMs;
    private long seq;
    private long lastEnd;
    private boolean up;
    private boolean draining;
    private volatile boolean isDrainWanted;
    private long drainCutMs;
    private long drainLeavesAfterMs;
    private long cutFromStoreUntilMs;
    private boolean listed;
    private long lastHeartbeatMs;
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Long> endedRuns = new HashMap<>();
    private final Map<String, Long> lastRunMs = new HashMap<>();
    private final Set<String> noted = new HashSet<>();
    private long lastLapseMs;
    private final Map<String, Integer> countByHow = new HashMap<>();
    private Consumer<String> onStart = task -> { };
    private Consumer<String> onDone = task -> { };

    Minion(Store store, Record record, String service, String rack, long cpu, long maxHoldMs, boolean logsRuns) {
        this.store = store;
        this.record = record;
        this.service = service;
        this.rack = rack;
        this.cpu = cpu;
        this.maxHoldMs = maxHoldMs;
        this.logsRuns = logsRuns;
    }

    private static long figure(String spec, String name) {
        int at = spec.indexOf(name);
        if (at < 0) return 0;
        int end = at + name.length();
        while (end < spec.length() && Character.isDigit(spec.charAt(end))) end++;
        return Long.parseLong(spec.substring(at + name.length(), end));
    }

    /** Starts the minion under a new id, or starts it again after {@link #crash}. */
    synchronized void boot(String newId) throws IOException {
        id = newId;
        bornMs = System.currentTimeMillis();
        bootedAtMs = Record.nowMs();
        draining = false;
        lastLapseMs = 0;
        fence = 0;
        leaseUntilMs = 0;
        seq = 0;
        lastEnd = 0;
        runs.clear();
        ends.clear();
        endedRuns.clear();
        open();
        up = true;
        record.line("minion " + id + " starts at " + address());
        heartbeat();
        Thread ticker = new Thread(() -> tick(newId));
        ticker.setDaemon(true);
        ticker.start();
    }

    /** All that runs here ends without an end; the entry in the store expires. */
    void crash() {
        leave("crashes");
    }

    private void leave(String how) {
        synchronized (this) {
            up = false;
            record.line("minion " + id + " " + how + "; it ran " + runs.keySet());
            for (Run run : runs.values()) lastRunMs.put(run.task, Record.nowMs());
            runs.clear();
            notifyAll();
        }
        close();
        if (!how.equals("crashes")) {
            store.put("servers", id, null);
            return;
        }
        String crashed = id;
        Thread expiry = new Thread(() -> {
            sleep(HEARTBEAT_MS * SILENT_HEARTBEATS);
            store.put("servers", crashed, null);
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    /** Reports `draining` with the next status report, is cut off from the store right after it, and leaves later. */
    synchronized void drain(long cutMs, long leavesAfterMs) {
        drainCutMs = cutMs;
        drainLeavesAfterMs = leavesAfterMs;
        isDrainWanted = true;
    }

    private void reportDraining() {
        long leavesAfterMs;
        synchronized (this) {
            isDrainWanted = false;
            draining = true;
            heartbeat();
            record.line("minion " + id + " reports draining; the store has accepted the report");
            cutFromStoreUntilMs = Record.nowMs() + drainCutMs;
            if (drainCutMs > 0) record.line("minion " + id + " is cut off from the store for " + drainCutMs + " ms");
            leavesAfterMs = drainLeavesAfterMs;
        }
        Thread end = new Thread(() -> {
            sleep(leavesAfterMs);
            leave("leaves");
        });
        end.setDaemon(true);
        end.start();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized boolean runs(String task) {
        return up && runs.containsKey(task);
    }

    /** Sets what is called with the subtask of each start, and of each end `done` here. */
    synchronized void observe(Consumer<String> start, Consumer<String> done) {
        onStart = start;
        onDone = done;
    }

    /** True if an end `done` of the subtask here is taken note of; the lease has not lapsed between the two. */
    synchronized boolean isNoted(String task) {
        return noted.contains(task);
    }

    /** When a run of the subtask was last seen here; 0 if there was none. */
    synchronized long lastRunMs(String task) {
        return runs.containsKey(task) ? Record.nowMs() : lastRunMs.getOrDefault(task, 0L);
    }

    synchronized int running() {
        return runs.size();
    }

    synchronized long runTimeMs(String task) {
        Run run = runs.get(task);
        return run == null ? -1 : Record.nowMs() - run.startedAtMs;
    }

    synchronized int endsOf(String how) {
        return countByHow.getOrDefault(how, 0);
    }

    /** Ends that have been listed for at least this time and are not acknowledged. */
    synchronized long unacknowledgedFor(long ms) {
        return ends.stream().filter(end -> Record.nowMs() - end.listedAtMs() >= ms).count();
    }

    synchronized long listed() {
        return lastEnd;
    }

    synchronized String id() {
        return id;
    }

    private long clockMs() {
        return Record.nowMs() - bootedAtMs;
    }

    private synchronized void heartbeat() {
        if (Record.nowMs() < cutFromStoreUntilMs) return;
        listed = true;
        lastHeartbeatMs = Record.nowMs();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", address());
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", draining ? "draining" : "ready");
        if (draining) entry.put("remaining_ms", 0);
        entry.put("cold_ms", 0);
        entry.put("capacity", Map.of("cpu", cpu, "mem_mb", 131_072, "gpus", 0));
        entry.put("labels", List.of("a", rack));
        entry.put("born", bornMs);
        entry.put("clock_ms", clockMs());
        entry.put("seq", ++seq);
        store.put("servers", id, Json.write(entry));
    }

    private void tick(String ownId) {
        long heartbeatAtMs = Record.nowMs() + HEARTBEAT_MS;
        while (true) {
            sleep(TICK_MS);
            synchronized (this) {
                if (!up || !id.equals(ownId)) return;
                endRuns();
                if (listed && Record.nowMs() - lastHeartbeatMs > HEARTBEAT_MS * SILENT_HEARTBEATS) {
                    listed = false;
                    store.put("servers", id, null);
                    record.line("the entry of minion " + id + " expires in the store; the minion is up");
                }
            }
            if (Record.nowMs() >= heartbeatAtMs) {
                heartbeatAtMs += HEARTBEAT_MS;
                if (isDrainWanted) reportDraining();
                else heartbeat();
            }
        }
    }

    private void endRuns() {
        boolean lapsed = clockMs() > leaseUntilMs;
        if (lapsed) lastLapseMs = Record.nowMs();
        List<Run> all = new ArrayList<>(runs.values());
        for (Run run : all) {
            long age = Record.nowMs() - run.startedAtMs;
            if (lapsed) end(run, "lapsed");
            else if (run.failAfterMs > 0 && age >= run.failAfterMs) end(run, "failed");
            else if (run.workMs > 0 && age >= run.workMs) end(run, "done");
        }
    }

    private void end(Run run, String how) {
        lastRunMs.put(run.task, Record.nowMs());
        runs.remove(run.task);
        endedRuns.merge(run.task, run.number, Math::max);
        ends.add(new End(++lastEnd, run.task, run.number, how, Record.nowMs()));
        countByHow.merge(how, 1, Integer::sum);
        if (how.equals("done")) onDone.accept(run.task);
        if (logsRuns) record.line("run " + run.task + " #" + run.number + " ends " + how + " on " + id);
        notifyAll();
    }

    @Override
    Reply handle(String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body)
        throws Exception {
        if (path.equals("/health")) return new Reply(200, "");
        Map<String, Object> call = Json.parseObject(body);
        synchronized (this) {
            if (!up) return Reply.NONE;
            String target = exchange.getRequestHeaders().getFirst("Bronzeshore-Target-Instance");
            if (target != null && !target.equals(id)) return new Reply(421, "");
            long token = number(call, "fence_token");
            if (token < fence) return refuse("fence");
            fence = token;
            switch (path) {
                case "/run-start": return start(call);
                case "/run-stop": return stop(call);
                case "/hold": return hold(call, exchange);
                default: return new Reply(404, "");
            }
        }
    }

    private static long number(Map<String, Object> call, String name) {
        Object value = call.get(name);
        return value == null ? 0 : ((Number) value).longValue();
    }

    private Reply refuse(String reason) {
        return new Reply(409, "{\"clock_ms\":" + clockMs() + ",\"reason\":\"" + reason + "\"}");
    }

    private Reply confirm() {
        return new Reply(200, "{\"clock_ms\":" + clockMs() + "}");
    }

    private void extendLease(Map<String, Object> call) {
        long until = Math.min(number(call, "deadline_ms"), clockMs() + maxHoldMs);
        leaseUntilMs = Math.max(leaseUntilMs, until);
    }

    private Reply start(Map<String, Object> call) {
        if (number(call, "deadline_ms") <= clockMs()) return refuse("late");
        extendLease(call);
        String task = (String) call.get("task_id");
        long run = number(call, "run_id");
        Run present = runs.get(task);
        if (present != null && present.number == run) return confirm();
        if (endedRuns.getOrDefault(task, 0L) >= run || present != null) return refuse("old");
        runs.put(task, new Run(task, run, (String) call.get("spec")));
        onStart.accept(task);
        if (logsRuns) record.line("run " + task + " #" + run + " starts on " + id);
        return confirm();
    }

    private Reply stop(Map<String, Object> call) {
        String task = (String) call.get("task_id");
        long run = number(call, "run_id");
        Run present = runs.get(task);
        if (present != null && present.number == run) end(present, "stopped");
        endedRuns.merge(task, run, Math::max);
        return confirm();
    }

    private Reply hold(Map<String, Object> call, HttpExchange exchange) throws InterruptedException {
        String ownId = id;
        if (call.containsKey("deadline_ms")) extendLease(call);
        long cursor = number(call, "ack_cursor");
        for (Iterator<End> each = ends.iterator(); each.hasNext();) {
            End end = each.next();
            if (end.number() > cursor) continue;
            each.remove();
            if (end.how().equals("done") && lastLapseMs < end.listedAtMs()) noted.add(end.task());
        }
        long untilMs = Record.nowMs() + number(call, "wait_ms");
        while (up && id.equals(ownId) && ends.isEmpty() && Record.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - Record.nowMs()));
        }
        if (!up || !id.equals(ownId)) return Reply.NONE;
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) running.add(List.of(run.task, run.number, "", run.percent(), 0));
        List<Object> ended = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(ends.size(), MAX_ENDS))) {
            ended.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
        }
        Map<String, Object> reply = new LinkedHashMap<>();
        reply.put("clock_ms", clockMs());
        reply.put("born", bornMs);
        reply.put("num_running", running);
        reply.put("ended", ended);
        return new Reply(200, Json.write(reply));
    }
}
