import java.io.File;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: processes of bronzeshore, started with the command of the deploy file, and their store. */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "kit-service";
    static final String HOST = "kits.example";
    private static final long START_TIMEOUT_MS = 20_000;

    /** A route of the config: its name is its prefix without slashes. */
    record Route(String name, int priority, int maxAttempts, double stretch, long sloMs) {
        String prefix() {
            return "/" + name + "/";
        }
    }

    private static final class Node {
        String name;
        Process process;
        int callers;
        int readiness;
    }

    final Record record;
    final Store store;
    private final Path folder = Files.createTempDirectory("review-2-");
    private final List<Node> nodes = new CopyOnWriteArrayList<>();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    Cluster(Record record, int processes, List<Route> routes) throws Exception {
        this.record = record;
        store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        putConfig(1, routes);
        for (int i = 1; i <= processes; i++) start("front-" + i);
        awaitReady();
    }

    void putConfig(long version, List<Route> routes) {
        List<Object> list = new ArrayList<>();
        for (Route route : routes) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", route.name());
            entry.put("host", HOST);
            entry.put("prefix", route.prefix());
            entry.put("type", "unsafe");
            entry.put("timeout_ms", 3000);
            entry.put("slo_ms", route.sloMs());
            entry.put("priority", route.priority());
            entry.put("service", SERVICE);
            entry.put("max_attempts", route.maxAttempts());
            entry.put("stretch", route.stretch());
            list.add(entry);
        }
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", SERVICE);
        service.put("health_path", "/health");
        service.put("max_conns", 64);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("enforces_capacity", false);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", list);
        config.put("services", List.of(service));
        config.put("limits", Map.of("max_body_bytes", 262_144));
        store.put("op", "config", Json.write(config));
    }

    /** The command of the role in the deploy file, split at spaces. */
    private static List<String> command() throws Exception {
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("deploy/system.toml names no command");
        return List.of(run.group(1).split(" "));
    }

    /** Starts a process, which finds the others through the store. */
    synchronized void start(String name) throws Exception {
        Node node = new Node();
        node.name = name;
        node.callers = Http.freePort();
        node.readiness = Http.freePort();
        int peers = Http.freePort();
        int metrics = Http.freePort();
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("maxLeaseMs", 6000);
        bounds.put("stopGraceMs", 900);
        bounds.put("gangWaitMs", 3000);
        bounds.put("stopSignalGraceSeconds", 6);
        bounds.put("statusRetentionSeconds", 120);
        bounds.put("earlyStartMs", 250);
        bounds.put("remoteFactor", 1.5);
        bounds.put("workerHeartbeatMs", Minion.HEARTBEAT_MS);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("processName", name);
        settings.put("dataCentre", "zone-a");
        settings.put("callersAddress", "127.0.0.1:" + node.callers);
        settings.put("readinessAddress", "127.0.0.1:" + node.readiness);
        settings.put("peersAddress", "127.0.0.1:" + peers);
        settings.put("metricsAddress", "127.0.0.1:" + metrics);
        settings.put("storeAddress", store.addressFor(name));
        settings.put("adviceAddress", "");
        settings.put("processorShare", 0.75);
        settings.put("processors", 1);
        settings.put("memoryMb", 430);
        settings.put("linkMbps", 1000.0);
        settings.put("bounds", bounds);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Json.write(settings));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BRONZESHORE_BOOT", file.toString());
        File log = folder.resolve(name + ".log").toFile();
        node.process = builder.redirectErrorStream(true).redirectOutput(log).start();
        nodes.add(node);
        record.add("process " + name + " started");
    }

    private void awaitReady() throws Exception {
        long untilNs = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        for (Node node : nodes) {
            while (statusOf("http://127.0.0.1:" + node.readiness + "/ready") != 200) {
                if (System.nanoTime() > untilNs) throw new IllegalStateException("the processes don't become ready");
                Thread.sleep(100);
            }
        }
        record.add("all processes are ready");
    }

    private int statusOf(String url) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(1)).build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (Exception notYet) {
            return 0;
        }
    }

    /** Sends a client's call to a process; null without an answer. */
    HttpResponse<String> call(int node, String method, String path, String body) {
        try {
            HttpRequest.Builder request = HttpRequest
                .newBuilder(URI.create("http://127.0.0.1:" + nodes.get(node).callers + path))
                .timeout(Duration.ofSeconds(3))
                .header("Host", HOST)
                .method(method, body == null ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body));
            if (body != null) request.header("Content-Type", "application/json");
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (java.io.IOException noAnswer) {
            return null;
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Hands in a submission at one process after the other until one accepts it. */
    void submit(Route route, String id, String body) {
        for (int attempt = 0; attempt < 20; attempt++) {
            HttpResponse<String> answer = call(attempt % nodes.size(), "POST", route.prefix() + id, body);
            record.add("client: POST " + route.prefix() + id + " of " + body.length() + " bytes -> "
                + (answer == null ? "no answer" : answer.statusCode()));
            if (answer != null && answer.statusCode() == 200) return;
            sleep(500);
        }
        throw new IllegalStateException("no process accepts " + id);
    }

    /** The state that a process shows of a submission; empty if it shows none. */
    String stateOf(int node, Route route, String id) {
        HttpResponse<String> answer = call(node, "GET", route.prefix() + id, null);
        if (answer == null || answer.statusCode() != 200) return answer == null ? "" : "status " + answer.statusCode();
        return Json.text(Json.object(answer.body()), "state");
    }

    /** `num_waiting` of a queue as a process gives it; -1 without an answer. */
    long waitingOf(int node, Route route) {
        HttpResponse<String> answer = call(node, "GET", route.prefix(), null);
        if (answer == null || answer.statusCode() != 200) return -1;
        return Json.number(Json.object(answer.body()), "num_waiting", -1);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** The number of the process that last wrote to the store under a condition: without submissions, the leader. */
    int leader() {
        for (int i = 0; i < nodes.size(); i++) if (nodes.get(i).name.equals(store.lastConditionalWriter())) return i;
        throw new IllegalStateException("no process has written under a condition");
    }

    int size() {
        return nodes.size();
    }

    /** Kills a process at once, for good. */
    void kill(int node) {
        nodes.get(node).process.destroyForcibly();
        record.add("process " + nodes.get(node).name + " is killed");
    }

    /** Ends all processes that this cluster has started; their logs stay if the variable KEEP_LOGS is set. */
    @Override
    public synchronized void close() {
        nodes.forEach(node -> node.process.destroyForcibly());
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + folder);
            return;
        }
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
