// Starts processes of the project with the command and the settings template of the deploy file, and ends them.
import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

final class Deployment implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String PREFIX = "/jobs/";

    final class Node {
        final String name;
        final int front = Http.freePort();
        final int ready = Http.freePort();
        final int peers = Http.freePort();
        final int metrics = Http.freePort();
        Process process;

        Node(String name) throws Exception {
            this.name = name;
        }

        void start() throws Exception {
            Path settings = folder.resolve(name + ".json");
            Files.writeString(settings, render(Files.readString(Path.of(deployValue("template"))), this));
            ProcessBuilder builder = new ProcessBuilder(deployValue("run").split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("BRONZESHORE_BOOT", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(this)));
            process = builder.start();
            Record.line("process " + name + " started");
        }

        boolean isReady() {
            return Http.call(ready, "GET", "/ready", "node", null, 500).status() == 200;
        }
    }

    final Path folder = Files.createTempDirectory("review-case");
    final List<Node> nodes = new ArrayList<>();
    private final int storePort;
    private final Map<String, String> bounds = new HashMap<>(BOUNDS);

    /** Processes with the bounds of the page of Kalinawan; otherBounds holds names and values that differ. */
    Deployment(int storePort, int count, String... otherBounds) throws Exception {
        this.storePort = storePort;
        for (int i = 0; i < otherBounds.length; i += 2) bounds.put(otherBounds[i], otherBounds[i + 1]);
        for (int i = 1; i <= count; i++) nodes.add(new Node("front-" + i));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    File log(Node node) {
        return folder.resolve(node.name + ".log").toFile();
    }

    private static final Map<String, String> BOUNDS = Map.of(
        "max_hold_ms", "6000", "kill_grace_ms", "900", "gang_wait_ms", "3000", "grace_s", "6", "status_s", "120",
        "early_ms", "250", "remote_factor", "1.5");

    private String deployValue(String key) throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith(key + " = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IllegalStateException("no " + key + " in the deploy file");
    }

    private String render(String template, Node node) {
        String text = template.replaceAll("(?s)\\{\\{#[^}]*}}.*?\\{\\{/[^}]*}}", "");
        Map<String, String> values = new HashMap<>(Map.of(
            "node", '"' + node.name + '"', "zone", "\"z1\"", "ip_addr", "127.0.0.1",
            "listen_addrs.front", "\"127.0.0.1:" + node.front + '"',
            "listen_addrs.ready_addr", "\"127.0.0.1:" + node.ready + '"',
            "internal_ports.0", "" + node.peers, "internal_ports.1", "" + node.metrics,
            "platform.address", "\"127.0.0.1:" + storePort + '"'));
        values.putAll(Map.of("hint", "null", "limits.cpu_share", "1.0", "limits.num_cores", "1",
            "limits.memory_mb", "820", "limits.link_mbps", "1000.0", "heartbeat_ms", "1500"));
        bounds.forEach((key, value) -> values.put("bounds." + key, value));
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}").matcher(text);
        return matcher.replaceAll(found -> {
            String value = values.get(found.group(1));
            if (value == null) throw new IllegalStateException("no value for " + found.group(1));
            return Matcher.quoteReplacement(value);
        });
    }

    /** The config with one queue for the service of the stand-in minions. */
    static Map<String, Object> config(int maxAttempts) {
        Map<String, Object> route = Json.map("name", "r1", "host", HOST, "prefix", PREFIX, "service", "svc",
            "max_attempts", maxAttempts, "stretch", 3.0, "slo_ms", 500);
        return Json.map("version", 1, "routes", List.of(route), "services", List.of(Json.map("name", "svc")),
            "limits", Json.map("max_body_bytes", 262_144));
    }

    /** Starts all processes and waits until they are ready; false if that takes too long. */
    boolean start() throws Exception {
        for (Node node : nodes) node.start();
        long until = Record.nowMs() + 20_000;
        while (Record.nowMs() < until) {
            if (nodes.stream().allMatch(Node::isReady)) return true;
            Thread.sleep(100);
        }
        return false;
    }

    /** Sends a call to the node and records it with its answer. */
    Http.Answer call(Node node, String method, String path, Object body) {
        String text = body == null ? null : Json.write(body);
        Http.Answer answer = Http.call(node.front, method, PREFIX + path, HOST, text, 3_000);
        Record.line(method + " " + path + " at " + node.name + " -> " + answer.status() + " " + answer.body()
            + (body == null ? "" : "   sent " + text));
        return answer;
    }

    /** Submits until a 2xx answer, as clients repeat a call without a final answer; false after five attempts. */
    boolean submit(String id, Object body) throws Exception {
        for (int attempt = 0; attempt < 5; attempt++) {
            if (call(nodes.get(attempt % nodes.size()), "POST", id, body).status() / 100 == 2) return true;
            Thread.sleep(500);
        }
        return false;
    }

    /** The state that any node gives; null without an answer. */
    String state(String id) {
        for (Node node : nodes) {
            Http.Answer answer = call(node, "GET", id, null);
            if (answer.status() == 200) return (String) Json.object(answer.body()).get("state");
            if (answer.status() == 410) return "410";
        }
        return null;
    }

    /** Ends all processes, and deletes their settings and logs unless `KEEP_LOGS` is set. */
    @Override
    public void close() {
        for (Node node : nodes) {
            if (node.process == null) continue;
            node.process.destroyForcibly();
            try {
                node.process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
        File[] files = folder.toFile().listFiles();
        if (files == null || System.getenv("KEEP_LOGS") != null) return;
        for (File file : files) file.delete();
        folder.toFile().delete();
    }
}
