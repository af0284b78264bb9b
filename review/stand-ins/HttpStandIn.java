import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback address that can be stopped and started again on the same port, as by a crash. */
abstract class HttpStandIn {
    /** A response; without a status the connection is closed without one. */
    record Reply(int status, String body) {
        static final Reply NONE = new Reply(0, "");
    }

    private HttpServer server;
    private ExecutorService threads;
    private int port;

    final synchronized void open() throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
        server = HttpServer.create(address, 512);
        port = server.getAddress().getPort();
        threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(threads);
        server.createContext("/", this::serve);
        server.start();
    }

    final synchronized void close() {
        if (server == null) return;
        server.stop(0);
        threads.shutdownNow();
        server = null;
    }

    final String address() {
        return "127.0.0.1:" + port;
    }

    abstract Reply handle(String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body)
        throws Exception;

    private void serve(HttpExchange exchange) throws IOException {
        Reply reply;
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int split = pair.indexOf('=');
                    query.put(pair.substring(0, split),
                        URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
                }
            }
            reply = handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, exchange, body);
        } catch (InterruptedException stopped) {
            reply = Reply.NONE;
        } catch (Exception failure) {
            reply = new Reply(400, Json.write(Map.of("error", String.valueOf(failure))));
        }
        if (reply.status() == 0) {
            exchange.close();
            return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
