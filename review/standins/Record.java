import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Writes record.txt: what was sent, answered and run, with the time in milliseconds since the start. */
final class Record implements AutoCloseable {

    /** A request that an upstream began to run. */
    record Run(long at, String upstream, Http.Message request) {}

    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(now() + " " + text);
        out.flush();
    }

    void run(String upstream, Http.Message m) {
        runs.add(new Run(now(), upstream, m));
        line("run " + upstream + " " + m.field("x-attempt-id") + " body " + m.body().length);
    }

    @Override
    public void close() {
        out.close();
    }
}
