import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One life of a minion that doesn't guard its capacity.
 *
 * How long a subtask works is told by the judge of the case; a run that carries a checkpoint resumes from it.
 */
final class Minion {
    static final long HEARTBEAT_MS = 1_500;
    private static final long MAX_HOLD_MS = 6_000;
    private static final long RESTORE_MS = 100;
    private static final long CHECKPOINT_MS = 2_000;
    private static final long TICK_MS = 10;
    private static final int MAX_ENDS = 500;
    private static final int ID_LENGTH = 16;

    /** What the case knows of subtasks, and where it hears of their runs. */
    interface Judge {
        /** Work of a subtask in milliseconds. */
        long workMs(String task);

        boolean isCheckpointable(String task);

        default void started(Minion minion, String task, long run, String checkpoint) {}

        default void ended(Minion minion, String task, long run, String how) {}

        default void acknowledged(Minion minion, String task, long run, String how) {}
    }

    private static final class Run {
        final String task;
        final long number;
        final long startedMs;
        final long doneBeforeMs;
        String saved;

        Run(String task, long number, long startedMs, long doneBeforeMs, String saved) {
            this.task = task;
            this.number = number;
            this.startedMs = startedMs;
            this.doneBeforeMs = doneBeforeMs;
            this.saved = saved;
        }
    }

    private record End(long number, String task, long run, String how, String saved) {}

    final String id;
    final int port;
    final List<String> labels;
    final long cpu;
    final long memMb;
    final long bornMs = System.currentTimeMillis();
    private final Store store;
    private final Judge judge;
    private final long startedAtNs = System.nanoTime();
    private final LinkedHashMap<String, Run> running = new LinkedHashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final HttpServer server;
    private long fence;
    private long leaseUntilMs;
    private long lastEnd;
    private long seq;
    private volatile boolean isDown;
    private volatile boolean isDraining;

    Minion(String id, int port, List<String> labels, long cpu, long memMb, Store store, Judge judge, long registerAfterMs)
        throws Exception {
        this.id = id;
        this.port = port;
        this.labels = labels;
        this.cpu = cpu;
        this.memMb = memMb;
        this.store = store;
        this.judge = judge;
        server = Http.start(port, this::handle);
        Http.THREADS.submit(this::tick);
        Http.THREADS.submit(() -> beat(registerAfterMs));
    }

    /** The minion dies: nothing runs on it any more, its channels break, and its port is closed. */
    void crash() {
        synchronized (this) {
            isDown = true;
            running.clear();
            notifyAll();
        }
        server.stop(0);
    }

    synchronized int runningCount() {
        return running.size();
    }

    private long nowMs() {
        return (System.nanoTime() - startedAtNs) / 1_000_000;
    }

    /** The minion is emptied: it reports that, goes on for a time, and leaves with what still runs on it. */
    void drain(long servesMs) {
        isDraining = true;
        register();
        Cluster.sleep(servesMs);
        crash();
        store.put("servers", id, null);
    }

    private void beat(long afterMs) {
        try {
            Thread.sleep(afterMs);
            while (!isDown) {
                register();
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void register() {
        if (isDown) return;
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", Cluster.SERVICE);
        entry.put("address", "127.0.0.1:" + port);
        entry.put("zone", "zone-a");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", isDraining ? "draining" : "ready");
        entry.put("cold_ms", 0);
        entry.put("capacity", Map.of("cpu", cpu, "mem_mb", memMb, "gpus", 0));
        entry.put("labels", labels);
        entry.put("born", bornMs);
        entry.put("clock_ms", nowMs());
        entry.put("seq", ++seq);
        store.put("servers", id, Json.write(entry));
    }

    private void tick() {
        try {
            while (!isDown) {
                advance();
                Thread.sleep(TICK_MS);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void advance() {
        if (isDown) return;
        long now = nowMs();
        for (Run run : new ArrayList<>(running.values())) {
            if (now > leaseUntilMs) {
                end(run, "lapsed");
                continue;
            }
            long worked = workedMs(run, now);
            if (judge.isCheckpointable(run.task)) {
                long savedMs = worked / CHECKPOINT_MS * CHECKPOINT_MS;
                if (savedMs > run.doneBeforeMs) run.saved = checkpointOf(run.task, savedMs);
            }
            if (worked >= judge.workMs(run.task)) end(run, "done");
        }
    }

    private static long workedMs(Run run, long now) {
        return run.doneBeforeMs + Math.max(0, now - run.startedMs);
    }

    /** The milliseconds of work that are saved, and a part of the submission's id. */
    private static String checkpointOf(String task, long savedMs) {
        return String.format("%08x", savedMs) + task.substring(ID_LENGTH / 4, ID_LENGTH * 3 / 4);
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        highestEnded.merge(run.task, run.number, Math::max);
        ends.add(new End(++lastEnd, run.task, run.number, how, how.equals("done") ? "" : run.saved));
        judge.ended(this, run.task, run.number, how);
        notifyAll();
    }

    private Http.Answer handle(HttpExchange exchange, String body) throws Exception {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/health")) return new Http.Answer(200, "");
        String target = exchange.getRequestHeaders().getFirst("Bronzeshore-Target-Instance");
        if (target != null && !target.equals(id)) return new Http.Answer(421, "");
        Map<String, Object> call = Json.object(body);
        synchronized (this) {
            if (isDown) throw new IOException("the minion is down");
            advance();
            long token = Json.number(call, "fence_token", 0);
            if (token < fence) return refuse("fence");
            fence = token;
            switch (path) {
                case "/run-start": return start(call);
                case "/run-stop": return stop(call);
                case "/hold": return hold(call);
                default: return new Http.Answer(404, "");
            }
        }
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Json.write(Map.of("clock_ms", nowMs(), "reason", reason)));
    }

    private void extend(Map<String, Object> call) {
        long until = Json.number(call, "deadline_ms", 0);
        leaseUntilMs = Math.max(leaseUntilMs, Math.min(until, nowMs() + MAX_HOLD_MS));
    }

    private Http.Answer start(Map<String, Object> call) {
        String task = Json.text(call, "task_id");
        long number = Json.number(call, "run_id", 0);
        Run present = running.get(task);
        if (present != null && present.number == number) {
            extend(call);
            return new Http.Answer(200, Json.write(Map.of("clock_ms", nowMs())));
        }
        if (Json.number(call, "deadline_ms", 0) < nowMs()) return refuse("late");
        extend(call);
        if (number <= highestEnded.getOrDefault(task, 0L) || present != null && present.number > number) {
            return refuse("old");
        }
        String checkpoint = Json.text(call, "checkpoint_at");
        long doneMs = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint.substring(0, 8), 16);
        long from = nowMs() + (checkpoint.isEmpty() ? 0 : RESTORE_MS);
        if (present != null) end(present, "stopped");
        running.put(task, new Run(task, number, from, doneMs, checkpoint));
        judge.started(this, task, number, checkpoint);
        return new Http.Answer(200, Json.write(Map.of("clock_ms", nowMs())));
    }

    private Http.Answer stop(Map<String, Object> call) {
        String task = Json.text(call, "task_id");
        long number = Json.number(call, "run_id", 0);
        highestEnded.merge(task, number, Math::max);
        Run present = running.get(task);
        if (present != null && present.number == number) end(present, "stopped");
        return new Http.Answer(200, Json.write(Map.of("clock_ms", nowMs())));
    }

    private Http.Answer hold(Map<String, Object> call) throws Exception {
        if (call.containsKey("deadline_ms")) extend(call);
        long acknowledged = Json.number(call, "ack_cursor", 0);
        for (End end : ends) {
            if (end.number() <= acknowledged) judge.acknowledged(this, end.task(), end.run(), end.how());
        }
        ends.removeIf(end -> end.number() <= acknowledged);
        long untilMs = nowMs() + Math.min(2_000, Json.number(call, "wait_ms", 0));
        while (ends.isEmpty() && !isDown && nowMs() < untilMs) wait(Math.max(1, untilMs - nowMs()));
        if (isDown) throw new IOException("the minion is down");
        long now = nowMs();
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(100, 100 * workedMs(run, now) / judge.workMs(run.task));
            runs.add(List.of(run.task, run.number, run.saved, percent, 100));
        }
        List<Object> listed = new ArrayList<>();
        for (End end : ends.subList(0, Math.min(MAX_ENDS, ends.size()))) {
            listed.add(List.of(end.number(), end.task(), end.run(), end.how(), end.saved()));
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("clock_ms", now);
        answer.put("born", bornMs);
        answer.put("num_running", runs);
        answer.put("ended", listed);
        return new Http.Answer(200, Json.write(answer));
    }
}
