// Stand-in of a minion: runs subtasks under leases and lists how they ended.
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

final class Minion {
    private static final int HEARTBEAT_MS = 1_500;
    private static final int TICK_MS = 10;

    /** What a run does: how long it works, and how it ends then. */
    record Work(long durationMs, String how) { }

    final class Run {
        final String task;
        final long number;
        final String checkpoint;
        final long startedAtMs = clock();
        final Work work;
        long stopAtMs = Long.MAX_VALUE;

        Run(String task, long number, String checkpoint, Work work) {
            this.task = task;
            this.number = number;
            this.checkpoint = checkpoint;
            this.work = work;
        }

        long percent() {
            return Math.min(100, 100 * (clock() - startedAtMs) / Math.max(1, work.durationMs()));
        }
    }

    final String machine;
    final int port;
    private final Store store;
    private final String rack;
    private final long maxLeaseMs;
    private final BiFunction<String, Long, Work> workOf;
    private static int lives = 0;

    private HttpServer server;
    private ScheduledExecutorService timer;
    volatile String id;
    private long born;
    private long bootedAtMs;
    private long fence;
    private long leaseUntilMs;
    private long beats;
    final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highest = new LinkedHashMap<>();
    private final List<List<Object>> ended = new ArrayList<>();
    private long lastEnd;

    Minion(Store store, String machine, String rack, long maxLeaseMs, BiFunction<String, Long, Work> workOf)
        throws Exception {
        this.store = store;
        this.machine = machine;
        this.rack = rack;
        this.maxLeaseMs = maxLeaseMs;
        this.workOf = workOf;
        this.port = Http.freePort();
        boot();
    }

    /** Starts a life of the minion, with a new id, as nothing is known of the one before. */
    synchronized void boot() throws Exception {
        id = "i-" + machine + "-" + (++lives);
        born = System.currentTimeMillis();
        bootedAtMs = Record.nowMs() - 1_000;
        fence = 0;
        leaseUntilMs = 0;
        lastEnd = 0;
        running.clear();
        highest.clear();
        ended.clear();
        server = Http.serve(port, this::handle);
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        timer.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        timer.scheduleAtFixedRate(this::beat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        Record.line("minion " + id + " is up");
    }

    /** Crashes: its channels break, and what runs on it is gone. Its entry stays until it expires. */
    void crash() {
        String former = id;
        synchronized (this) {
            Record.line("minion " + former + " crashes; running: " + running.keySet());
            running.clear();
            timer.shutdownNow();
        }
        server.stop(0);
        Thread expiry = new Thread(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MS);
            } catch (InterruptedException stopped) {
                return;
            }
            store.put("servers", former, null);
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    private long clock() {
        return Record.nowMs() - bootedAtMs;
    }

    private synchronized void beat() {
        store.put("servers", id, Json.map(
            "service", "svc", "address", "127.0.0.1:" + port, "zone", "z1", "version", "1", "slots", 8,
            "state", "ready", "seq", ++beats, "born", born,
            "capacity", Json.map("cpu", 16_000, "mem_mb", 32_768), "labels", List.of("a", rack)));
    }

    private synchronized void tick() {
        long now = clock();
        for (Run run : List.copyOf(running.values())) {
            if (now > leaseUntilMs) end(run, "lapsed");
            else if (now >= run.stopAtMs) end(run, "stopped");
            else if (now - run.startedAtMs >= run.work.durationMs()) end(run, run.work.how());
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        ended.add(List.of(++lastEnd, run.task, run.number, how, ""));
        Record.line("run " + run.task + " " + run.number + " ended " + how + " on " + id);
        notifyAll();
    }

    synchronized boolean runs(String task) {
        return running.containsKey(task);
    }

    synchronized boolean runsAny() {
        return !running.isEmpty();
    }

    synchronized int count() {
        return running.size();
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        if (!id.equals(request.target())) return new Http.Answer(421, "{}");
        Map<String, Object> body = Json.object(request.body());
        synchronized (this) {
            long token = Json.number(body, "fence_token");
            if (token < fence) return refuse("fence");
            fence = token;
            return switch (request.path()) {
                case "/run-start" -> start(body);
                case "/run-stop" -> stop(body);
                case "/hold" -> hold(body);
                default -> new Http.Answer(404, "");
            };
        }
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Json.write(Json.map("clock_ms", clock(), "reason", reason)));
    }

    private void extendLease(Map<String, Object> body) {
        if (!body.containsKey("deadline_ms")) return;
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(Json.number(body, "deadline_ms"), clock() + maxLeaseMs));
    }

    private Http.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task_id");
        long number = Json.number(body, "run_id");
        if (Json.number(body, "deadline_ms") < clock()) return refuse("late");
        extendLease(body);
        Run present = running.get(task);
        if (present != null && present.number == number) return ok();
        if (present != null || number <= highest.getOrDefault(task, 0L)) return refuse("old");
        highest.put(task, number);
        Run run = new Run(task, number, (String) body.get("checkpoint_at"), workOf.apply(task, number));
        running.put(task, run);
        Record.line("run " + task + " " + number + " starts on " + id + " checkpoint " + run.checkpoint);
        return ok();
    }

    private Http.Answer stop(Map<String, Object> body) {
        String task = (String) body.get("task_id");
        long number = Json.number(body, "run_id");
        highest.merge(task, number, Math::max);
        Run run = running.get(task);
        if (run != null && run.number == number) run.stopAtMs = Math.min(run.stopAtMs, clock() + 100);
        return ok();
    }

    private Http.Answer ok() {
        return new Http.Answer(200, Json.write(Json.map("clock_ms", clock(), "born", born)));
    }

    private Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        extendLease(body);
        long acknowledged = Json.number(body, "ack_cursor");
        ended.removeIf(end -> ((Number) end.get(0)).longValue() <= acknowledged);
        String asked = id;
        long until = clock() + Math.min(2_000, Json.number(body, "wait_ms"));
        while (ended.isEmpty() && clock() < until && asked.equals(id)) wait(Math.max(1, until - clock()));
        if (!asked.equals(id)) return new Http.Answer(0, "");
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) rows.add(List.of(run.task, run.number, "", run.percent(), 1000));
        List<Object> ends = new ArrayList<>(ended.subList(0, Math.min(500, ended.size())));
        return new Http.Answer(200, Json.write(
            Json.map("clock_ms", clock(), "born", born, "num_running", rows, "ended", ends)));
    }
}
