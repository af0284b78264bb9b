import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: the stand-in of the platform, minions, and processes started with the deploy file's command. */
final class Deployment implements AutoCloseable {
    static final String HOST = "bookings.example";
    static final String PREFIX = "/jobs/";
    static final String SERVICE = "booking";
    static final long MAX_HOLD_MS = 6_000;
    static final long ACK_MS = 4_000;
    static {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 10_000;
    private static int nextPort = (int) (ProcessHandle.current().pid() * 41 % PORTS);
    private static final int READY_TIMEOUT_MS = 30_000;
    private static final int ANSWER_TIMEOUT_MS = 3_000;

    /** One process of the project. */
    final class Node {
        final String name;
        final int callers = freePort();
        final int readiness = freePort();
        final int peers = freePort();
        final int metrics = freePort();
        Process process;

        Node(String name) throws IOException {
            this.name = name;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, settingsOf(this));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("BRONZESHORE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            record.line("process " + name + " starts");
        }

        /** Sends STOP or CONT to the process. */
        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }
    }

    /** The answer to a client's call; status 0 stands for none. */
    record Answer(int status, String body) { }

    final Record record;
    final Store store;
    final List<Minion> minions = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final Path folder;
    private final Random random = new Random(1);

    Deployment(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review-case");
        store = new Store(record);
        store.open();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Writes the config with one queue, starts the minions and the processes, and waits until they are ready. */
    void start(int minionCount, long cpu, int nodeCount, int maxAttempts, boolean logsRuns) throws Exception {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", "r-1");
        route.put("host", HOST);
        route.put("prefix", PREFIX);
        route.put("type", "unsafe");
        route.put("timeout_ms", 3_000);
        route.put("slo_ms", 1_000);
        route.put("priority", 1);
        route.put("service", SERVICE);
        route.put("max_attempts", maxAttempts);
        route.put("stretch", 2.0);
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("name", SERVICE);
        service.put("health_path", "/health");
        service.put("max_conns", 64);
        service.put("protocol", "h1");
        service.put("tls", false);
        service.put("enforces_capacity", false);
        service.put("standby", false);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", 1);
        config.put("routes", List.of(route));
        config.put("services", List.of(service));
        config.put("limits", Map.of("max_body_bytes", 262_144));
        store.put("op", "config", Json.write(config));
        for (int i = 0; i < minionCount; i++) {
            Minion minion = new Minion(store, record, SERVICE, "r1-" + (1 + i / 8), cpu, MAX_HOLD_MS, logsRuns);
            minion.boot(newMinionId());
            minions.add(minion);
        }
        for (int i = 0; i < nodeCount; i++) {
            Node node = new Node("front-" + (i + 1));
            nodes.add(node);
            node.start();
        }
        long untilMs = Record.nowMs() + READY_TIMEOUT_MS;
        for (Node node : nodes) {
            while (call("GET", node.readiness, "/ready", null).status() != 200) {
                if (Record.nowMs() > untilMs) throw new IOException(node.name + " is not ready");
                Thread.sleep(100);
            }
        }
        record.line("all processes are ready");
    }

    String newMinionId() {
        return String.format("i-%08x", random.nextInt());
    }

    synchronized String newJobId() {
        return String.format("%016x", random.nextLong());
    }

    /** A free port below those that the system gives to outgoing connections. */
    private static synchronized int freePort() throws IOException {
        for (int attempt = 0; attempt < PORTS; attempt++) {
            int port = FIRST_PORT + nextPort++ % PORTS;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                // The next one may be free.
            }
        }
        throw new IOException("no free port");
    }

    /** The command of the deploy file. */
    private static List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run *= *\"(.*)\" *$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IOException("deploy/system.toml has no command");
        return List.of(run.group(1).trim().split(" +"));
    }

    /** The template of the deploy file with the figures of a small installation. */
    private String settingsOf(Node node) {
        Map<String, Object> bounds = new LinkedHashMap<>();
        bounds.put("maxLeaseMs", MAX_HOLD_MS);
        bounds.put("stopGraceMs", 900);
        bounds.put("gangWaitMs", 3_000);
        bounds.put("stopSignalGraceSeconds", 6);
        bounds.put("statusRetentionSeconds", 120);
        bounds.put("earlyStartMs", 250);
        bounds.put("remoteFactor", 1.5);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("processName", node.name);
        settings.put("dataCentre", "zone-a");
        settings.put("callersAddress", "127.0.0.1:" + node.callers);
        settings.put("readinessAddress", "127.0.0.1:" + node.readiness);
        settings.put("peersAddress", "127.0.0.1:" + node.peers);
        settings.put("metricsAddress", "127.0.0.1:" + node.metrics);
        settings.put("storeAddress", store.address());
        settings.put("adviceAddress", null);
        settings.put("processorShare", 0.75);
        settings.put("processors", 1);
        settings.put("memoryMb", 430);
        settings.put("linkMbps", 1_000.0);
        settings.put("bounds", bounds);
        return Json.write(settings);
    }

    /** Calls a process as a client of the ingress does. */
    Answer call(String method, int port, String path, String body) {
        try {
            byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(ANSWER_TIMEOUT_MS);
            connection.setReadTimeout(ANSWER_TIMEOUT_MS);
            connection.setRequestProperty("Host", HOST);
            connection.setRequestProperty("Content-Type", "application/json");
            if (bytes != null) {
                connection.setDoOutput(true);
                connection.getOutputStream().write(bytes);
            }
            int status = connection.getResponseCode();
            var stream = status < 400 ? connection.getInputStream() : connection.getErrorStream();
            String text = stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            return new Answer(status, text);
        } catch (IOException failure) {
            return new Answer(0, String.valueOf(failure.getMessage()));
        }
    }

    private synchronized Node anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    /** Hands a submission in, up to five times, as a client does; true if it was accepted. */
    boolean submit(String jobId, String body) throws InterruptedException {
        for (int attempt = 0; attempt < 5; attempt++) {
            Node node = anyNode();
            Answer answer = call("POST", node.callers, PREFIX + jobId, body);
            record.line("POST " + jobId + " at " + node.name + " -> " + answer.status() + " " + answer.body());
            if (answer.status() / 100 == 2) return true;
            Thread.sleep(500);
        }
        return false;
    }

    /** The state that a client is told; empty without an answer. */
    String stateOf(String jobId) {
        Answer answer = call("GET", anyNode().callers, PREFIX + jobId, null);
        if (answer.status() == 410) return "410";
        if (answer.status() != 200) return "";
        return String.valueOf(Json.parseObject(answer.body().getBytes(StandardCharsets.UTF_8)).get("state"));
    }

    /** The process that last wrote the leader's term to the store. */
    Node leader() {
        String text = store.textOf("leader", "lead");
        return nodes.stream().filter(node -> text.contains(node.name)).findFirst().orElseThrow();
    }

    /** Names of the processes' log events with their counts, for the record. */
    Map<String, Integer> events() throws IOException {
        Map<String, Integer> result = new java.util.TreeMap<>();
        Pattern event = Pattern.compile("\"event\":\"([a-z_]+)\"");
        for (Node node : nodes) {
            Path log = folder.resolve(node.name + ".log");
            if (!Files.exists(log)) continue;
            for (String line : Files.readAllLines(log)) {
                Matcher matcher = event.matcher(line);
                if (matcher.find()) result.merge(matcher.group(1), 1, Integer::sum);
            }
        }
        return result;
    }

    @Override
    public void close() {
        for (Node node : nodes) if (node.process != null) node.process.destroyForcibly();
        for (Node node : nodes) {
            try {
                if (node.process != null) node.process.waitFor();
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException gone) {
            // The folder has been deleted already.
        }
    }
}
