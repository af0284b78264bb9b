import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to the record of a case, with the time in seconds since its start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAtNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startedAtNs) / 1e9;
    }

    synchronized void add(String line) {
        out.printf("%8.3f  %s%n", seconds(), line);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
