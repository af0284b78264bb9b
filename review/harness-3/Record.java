// The record of a case: what was sent, answered and run, with the time since the start.
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

final class Record {
    private static final long STARTED_NS = System.nanoTime();
    private static PrintWriter out;

    static void open(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long nowMs() {
        return (System.nanoTime() - STARTED_NS) / 1_000_000;
    }

    static synchronized void line(String text) {
        if (out == null) return;
        out.printf("%8.3f %s%n", nowMs() / 1000.0, text);
        out.flush();
    }
}
