import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** The record of a case: what was sent, answered and run, with the seconds since the case began. */
final class Record {
    private static final long SELDOM_MS = 1_000;

    private final PrintWriter out;
    private final long startedAtMs = System.nanoTime() / 1_000_000;
    private final Map<String, Long> lastMs = new HashMap<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", (nowMs() - startedAtMs) / 1000.0, text);
    }

    /** Writes at most one line a second of each kind. */
    synchronized void lineSeldom(String kind, String text) {
        Long last = lastMs.get(kind);
        if (last != null && nowMs() - last < SELDOM_MS) return;
        lastMs.put(kind, nowMs());
        line(text);
    }
}
