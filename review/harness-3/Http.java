// A small HTTP server on a loopback port, whose handler may take its time, and a client for single requests.
import com.sun.net.httpserver.HttpServer;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

final class Http {
    /** Status 0 stands for no answer: the channel is closed. */
    record Answer(int status, String body) { }

    record Request(String method, String path, Map<String, String> query, String target, String body) { }

    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    static HttpServer serve(int port, Handler handler) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 128);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            try (exchange) {
                URI uri = exchange.getRequestURI();
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                String target = exchange.getRequestHeaders().getFirst("Bronzeshore-Target-Instance");
                Answer answer = handler.handle(
                    new Request(exchange.getRequestMethod(), uri.getPath(), query(uri), target, body));
                if (answer.status() == 0) return;
                byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) {
                    try (OutputStream out = exchange.getResponseBody()) {
                        out.write(bytes);
                    }
                }
            } catch (Exception failure) {
                if (!(failure instanceof java.io.IOException)) Record.line("stand-in failed: " + failure);
            }
        });
        server.start();
        return server;
    }

    private static Map<String, String> query(URI uri) {
        Map<String, String> result = new HashMap<>();
        if (uri.getRawQuery() == null) return result;
        for (String pair : uri.getRawQuery().split("&")) {
            String[] parts = pair.split("=", 2);
            result.put(parts[0], parts.length < 2 ? "" : URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return result;
    }

    static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Sends one request on a channel of its own; status 0 without an answer. */
    static Answer call(int port, String method, String path, String host, String body, int timeoutMs) {
        try (java.net.Socket socket = new java.net.Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
                + "Bronzeshore-Deadline: " + timeoutMs + "\r\n"
                + (method.equals("GET") ? "" : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n")
                + "\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (!answer.startsWith("HTTP/1.1 ")) return new Answer(0, "no answer");
            int end = answer.indexOf("\r\n\r\n");
            return new Answer(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
        } catch (Exception failure) {
            return new Answer(0, String.valueOf(failure.getMessage()));
        }
    }
}
